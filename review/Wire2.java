import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** One HTTP/1.1 message, read from a stream. */
final class Wire2 {
    final String first;
    final List<String[]> fields;
    byte[] body = {};

    private Wire2(String first, List<String[]> fields) {
        this.first = first;
        this.fields = fields;
    }

    Optional<String> field(String name) {
        for (String[] field : fields) {
            if (field[0].equalsIgnoreCase(name)) {
                return Optional.of(field[1]);
            }
        }
        return Optional.empty();
    }

    String method() {
        return first.substring(0, first.indexOf(' '));
    }

    String target() {
        int from = first.indexOf(' ') + 1;
        return first.substring(from, first.indexOf(' ', from));
    }

    int status() {
        return Integer.parseInt(first.substring(9, 12));
    }

    /** Reads a head; null if the stream ends before it. */
    static Wire2 head(InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        List<String[]> fields = new ArrayList<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return new Wire2(first, fields);
    }

    /** Reads a whole request; null if the connection ends before one. */
    static Wire2 request(InputStream in) throws IOException {
        Wire2 head = head(in);
        if (head != null) {
            head.readBody(in, false);
        }
        return head;
    }

    /** Reads a whole answer; an answer without framing ends with its connection. */
    static Wire2 answer(InputStream in) throws IOException {
        Wire2 head = head(in);
        if (head == null) {
            throw new EOFException("no answer");
        }
        head.readBody(in, true);
        return head;
    }

    private void readBody(InputStream in, boolean untilEnd) throws IOException {
        if (field("Transfer-Encoding").orElse("").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                out.write(exactly(in, size));
                line(in);
            }
            for (String line = line(in); line != null && !line.isEmpty(); ) {
                line = line(in);
            }
            body = out.toByteArray();
        } else if (field("Content-Length").isPresent()) {
            body = exactly(in, Integer.parseInt(field("Content-Length").get()));
        } else if (untilEnd && status() != 204) {
            body = in.readAllBytes();
        }
    }

    private static int size(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("chunks ended early");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException(bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16 * 1024);
    }
}
