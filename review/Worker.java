import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;

/**
 * A worker of a plain service. It begins each request as soon as it has read it, works on it for a
 * time, at most until the deadline that it was handed, and answers.
 */
final class Worker implements AutoCloseable {
    final String id;
    private final Rig rig;
    private final ServerSocket server;
    private final ToLongFunction<Http.Message> workMillis;

    /** When each request began to run here, by its Attempt-Id. */
    final Map<String, Long> runs = new ConcurrentHashMap<>();

    Worker(Rig rig, String id, ToLongFunction<Http.Message> workMillis) throws IOException {
        this.rig = rig;
        this.id = id;
        this.workMillis = workMillis;
        this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes this worker's entry to the store. */
    void list(String service, String zone, String address, int slots) {
        rig.platform.put(
                "servers/" + id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,"
                                + "\"sequence\":1}",
                        service, address, zone, slots));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Rig.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) throws InterruptedException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                out.write(answer(request).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // the other side has closed or reset the connection
        }
    }

    private String answer(Http.Message request) throws InterruptedException {
        String attempt = request.fields().get("attempt-id");
        if (!id.equals(request.fields().getOrDefault("expect-instance", id))) {
            return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                    + id
                    + "\r\nContent-Length: 0\r\n\r\n";
        }
        runs.put(attempt, Rig.now());
        rig.log("run " + attempt + " begins at worker " + id);
        long deadline = Long.parseLong(request.fields().getOrDefault("deadline-ms", "60000"));
        long work = workMillis.applyAsLong(request);
        Thread.sleep(Math.min(work, deadline));
        String status = work <= deadline ? "200 OK" : "504 Gateway Timeout";
        String body = "figure of " + attempt;
        return "HTTP/1.1 "
                + status
                + "\r\nAttempt-Id: "
                + attempt
                + "\r\nInstance-Stamp: "
                + id
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
