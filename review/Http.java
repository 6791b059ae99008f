import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on plain sockets, with lengths and chunks. */
final class Http {
    private Http() {}

    /** A request or an answer: its first line, its fields with lower-case names, and its body. */
    record Message(String first, Map<String, String> fields, String body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    /** Reads a message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(first, fields, body(in, fields));
    }

    private static String body(InputStream in, Map<String, String> fields) throws IOException {
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            StringBuilder body = new StringBuilder();
            while (true) {
                int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
                body.append(text(in, size));
                line(in, false);
                if (size == 0) {
                    return body.toString();
                }
            }
        }
        return text(in, Integer.parseInt(fields.getOrDefault("content-length", "0")));
    }

    private static String text(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("inside a body");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (mayEnd && line.length() == 0) {
                    return null;
                }
                throw new EOFException("inside a head");
            } else if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Sends one request on a connection of its own and returns the answer. */
    static Message call(String address, String request, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(timeoutMillis);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.UTF_8));
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }
}
