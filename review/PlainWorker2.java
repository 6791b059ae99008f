import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A worker of a plain service that answers each request that names it. */
final class PlainWorker2 {
    final String id;
    private final int port = Gateway2.port();

    PlainWorker2(String id, Consumer<Wire2> ran) throws Exception {
        this.id = id;
        ServerSocket server = new ServerSocket(port, 128, InetAddress.getByName(Gateway2.HOST));
        Tasks2.daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        Tasks2.daemon(() -> serve(socket, ran));
                    }
                });
    }

    String entry(String service, String zone) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                            + Gateway2.HOST
                            + ":"
                + port
                + "\",\"zone\":\""
                + zone
                + "\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"sequence\":1,\"born\":"
                + System.currentTimeMillis()
                + "}";
    }

    private void serve(Socket socket, Consumer<Wire2> ran) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Wire2.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Wire2 call = Wire2.request(in); call != null; call = Wire2.request(in)) {
                String attempt = call.field("Attempt-Id").orElse("");
                boolean named = call.field("Expect-Instance").orElse(id).equals(id);
                if (named) {
                    ran.accept(call);
                }
                String body = named ? "answer to " + attempt : "";
                String answer =
                        "HTTP/1.1 "
                                + (named ? "200 OK" : "421 X")
                                + "\r\nAttempt-Id: "
                                + attempt
                                + "\r\n"
                                + (named ? "Instance-Stamp: " + id + ".1\r\n" : "")
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body;
                out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }
    }
}
