import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A worker of a streaming service. Its answers are streams of numbered events, each of which names
 * the version of the worker's software; with Last-Event-Id it goes on after that event. It stops
 * when the connection ends.
 */
final class StreamWorker implements AutoCloseable {
    static final int EVENTS = 32;
    private static final long GAP_MILLIS = 250;

    final String id;
    final String version;
    private final Rig rig;
    private final ServerSocket server;
    private volatile boolean leaving;

    StreamWorker(Rig rig, String id, String version) throws IOException {
        this.rig = rig;
        this.id = id;
        this.version = version;
        this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(this::accept);
    }

    /** Writes this worker's entry to the store. */
    void list(String state, String zone, int sequence) {
        leaving = state.equals("draining");
        rig.platform.put(
                "servers/" + id,
                String.format(
                        "{\"service\":\"modelo-hipo\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                + "\"version\":\"%s\",\"slots\":128,\"state\":\"%s\","
                                + "\"cold_left_ms\":0,\"sequence\":%d}",
                        server.getLocalPort(), zone, version, state, sequence));
        rig.log("worker " + id + " of version " + version + " is " + state);
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
                answer(request, out);
            }
        } catch (IOException e) {
            // the other side has closed or reset the connection
        }
    }

    private void answer(Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        if (!id.equals(request.fields().getOrDefault("expect-instance", id))) {
            write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                            + id
                            + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String attempt = request.fields().get("attempt-id");
        String last = request.fields().getOrDefault("last-event-id", "");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        rig.log("run " + attempt + " begins at " + id + " (" + version + "), event " + first);
        write(
                out,
                "HTTP/1.1 200 OK\r\nAttempt-Id: "
                        + attempt
                        + "\r\nInstance-Stamp: "
                        + id
                        + "\r\n"
                        + (leaving ? "Server-Leaving: 1\r\n" : "")
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = first; number <= EVENTS; number++) {
            Thread.sleep(GAP_MILLIS);
            String event = "id: " + number + "\ndata: " + version + " of " + id + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
