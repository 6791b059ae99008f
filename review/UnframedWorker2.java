import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The process of a worker whose streams have neither a length nor chunks and end with their
 * connection.
 */
public final class UnframedWorker2 {
    private UnframedWorker2() {}

    /** Arguments: port, id, events of a stream, time between them, file of what was run, host. */
    public static void main(String[] args) throws Exception {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        int port = Integer.parseInt(args[0]);
        server.bind(new InetSocketAddress(args[5], port), 128);
        while (true) {
            Socket socket = server.accept();
            Tasks2.daemon(() -> serve(socket, args));
        }
    }

    private static void serve(Socket socket, String[] args) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Wire2.buffered(socket.getInputStream());
            Wire2 call = Wire2.request(in);
            if (call != null) {
                answer(call, socket.getOutputStream(), args);
            }
        }
    }

    private static void answer(Wire2 call, OutputStream out, String[] args) throws Exception {
        String id = args[1];
        String attempt = call.field("Attempt-Id").orElse("");
        if (!call.field("Expect-Instance").orElse(id).equals(id)) {
            write(out, "HTTP/1.1 421 X\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int events = Integer.parseInt(args[2]);
        int last = Integer.parseInt(call.field("Last-Event-Id").orElse("0"));
        String run = id + " runs " + attempt + " from event " + (last + 1) + "\n";
        Files.writeString(
                Path.of(args[4]), run, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        write(
                out,
                "HTTP/1.1 200 OK\r\nAttempt-Id: "
                        + attempt
                        + "\r\nInstance-Stamp: "
                        + id
                        + ".1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int event = last + 1; event <= events; event++) {
            Thread.sleep(Long.parseLong(args[3]));
            write(out, "id: " + event + "\ndata: " + id + " 1 " + event + "\n\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
