import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker of a service: answers requests that name it, tells its version to the record, and can be
 * killed and started again under its id and address.
 */
final class Worker2 {
    /** Told of what a worker runs. */
    interface Seen {
        void ran(Worker2 worker, Wire2 request, int firstEvent);
    }

    final String id;
    final String service;
    final String zone;
    private final Store2 store;
    private final Seen seen;
    private final int port;
    private final int events;
    private final long eventMillis;
    volatile String version;
    volatile long born;
    private volatile boolean up;
    private ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Worker2(
            String id,
            String service,
            String zone,
            String version,
            int events,
            long eventMillis,
            Store2 store,
            Seen seen) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.events = events;
        this.eventMillis = eventMillis;
        this.store = store;
        this.seen = seen;
        this.port = Gateway2.port();
    }

    String address() {
        return Gateway2.HOST + ":" + port;
    }

    /** Starts a life of the worker, which writes its entry as soon as the store takes it. */
    void start(String withVersion) throws Exception {
        start(withVersion, 0);
    }

    /** Does the same; the worker takes requests some time after it has tried to write its entry. */
    synchronized void start(String withVersion, long loadMillis) throws Exception {
        version = withVersion;
        born = System.currentTimeMillis();
        up = true;
        Tasks2.daemon(this::register);
        Thread.sleep(loadMillis);
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(Gateway2.HOST), port), 128);
        ServerSocket current = server;
        Tasks2.daemon(
                () -> {
                    while (true) {
                        Socket socket = current.accept();
                        Tasks2.daemon(() -> serve(socket));
                    }
                });
    }

    private void register() throws Exception {
        long life = born;
        while (store.silent) {
            Thread.sleep(10);
        }
        if (life == born && up) {
            store.put("servers/" + id, entry());
        }
    }

    String entry() {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                + address()
                + "\",\"zone\":\""
                + zone
                + "\",\"version\":\""
                + version
                + "\",\"slots\":128,\"state\":\"ready\",\"sequence\":1,\"born\":"
                + born
                + "}";
    }

    /** Ends the worker's process: its system resets what is open and refuses what is new. */
    synchronized void kill() throws IOException {
        up = false;
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        open.clear();
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Wire2.buffered(socket.getInputStream());
            for (Wire2 call = Wire2.request(in); call != null; call = Wire2.request(in)) {
                answer(call, socket.getOutputStream());
            }
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Wire2 call, OutputStream out) throws Exception {
        String attempt = call.field("Attempt-Id").orElse("");
        if (call.target().equals("/v1/report")) {
            String report =
                    "{\"phase\":\"both\",\"models\":[],\"utilization\":false,\"sequence\":1,"
                            + "\"queued\":0,\"active\":1,\"born\":"
                            + born
                            + "}";
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            return;
        }
        if (!call.field("Expect-Instance").orElse(id).equals(id)) {
            write(out, "HTTP/1.1 421 X\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int last = Integer.parseInt(call.field("Last-Event-Id").orElse("0"));
        seen.ran(this, call, last + 1);
        write(
                out,
                "HTTP/1.1 200 OK\r\nAttempt-Id: "
                        + attempt
                        + "\r\nInstance-Stamp: "
                        + id
                        + "."
                        + born
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = last + 1; event <= events; event++) {
            Thread.sleep(eventMillis);
            String text = "id: " + event + "\ndata: " + id + " " + version + " " + event + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
