import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A client that reads one stream and takes it up again, a few times, after it was broken off. */
final class StreamCaller2 {
    private static final long DEADLINE_MILLIS = 15_000;
    private static final int MAX_TRIES = 6;

    final String id;
    private final List<Integer> gateways;
    private final long pauseMillis;
    final List<String> tries = new ArrayList<>();
    final Set<String> versions = new TreeSet<>();
    volatile int last;
    volatile boolean whole;
    private String root = "";
    private int first;
    private String path = "/stream/x";

    StreamCaller2(String id, List<Integer> gateways, long pauseMillis) {
        this.id = id;
        this.gateways = gateways;
        this.pauseMillis = pauseMillis;
    }

    StreamCaller2 at(String changed) {
        path = changed;
        return this;
    }

    /** Sends the first try to another gateway. */
    StreamCaller2 firstAt(int gateway) {
        first = gateway;
        return this;
    }

    void run() throws InterruptedException {
        long deadline = System.currentTimeMillis() + DEADLINE_MILLIS;
        for (int n = 0; n < MAX_TRIES && !whole; n++) {
            long left = deadline - System.currentTimeMillis();
            if (left < 500) {
                return;
            }
            String attempt = id + "-" + n;
            int next = gateways.get(Math.floorMod(id.hashCode() + n, gateways.size()));
            int gateway = n == 0 && first > 0 ? first : next;
            String outcome;
            long waitMillis = pauseMillis;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Gateway2.HOST, gateway), 1_000);
                socket.setSoTimeout(4_000);
                String resumed =
                        last == 0 ? "" : "Last-Event-Id: " + last + "\r\nResumes: " + root + "\r\n";
                String head =
                        "POST "
                                + path
                                + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                                + attempt
                                + "\r\nModel: m\r\nToken-Usage: 100,60\r\nPrefix-Hash: a1:60,"
                                + Integer.toHexString(id.hashCode())
                                + ":40\r\nDeadline-Ms: "
                                + left
                                + "\r\nAuthorization: Bearer key\r\n"
                                + resumed
                                + "Content-Length: 0\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = Wire2.buffered(socket.getInputStream());
                Wire2 answer = Wire2.head(in);
                if (answer == null) {
                    outcome = "closed";
                } else if (answer.status() != 200) {
                    outcome = Integer.toString(answer.status());
                    waitMillis =
                            answer.field("Retry-After")
                                    .map(s -> (long) (Double.parseDouble(s) * 1000))
                                    .map(after -> Math.max(after, pauseMillis))
                                    .orElse(pauseMillis);
                } else {
                    outcome = "200, " + events(in, attempt);
                }
            } catch (IOException e) {
                outcome = e.toString();
            }
            tries.add(attempt + " at " + gateway + ": " + outcome + ", last event " + last);
            Thread.sleep(waitMillis);
        }
    }

    private String events(InputStream in, String attempt) {
        try {
            while (true) {
                String size = Wire2.line(in);
                if (size == null) {
                    return "broken off";
                }
                if (size.equals("0")) {
                    whole = true;
                    return "whole";
                }
                byte[] chunk = in.readNBytes(Integer.parseInt(size, 16));
                Wire2.line(in);
                for (String line : new String(chunk, StandardCharsets.ISO_8859_1).split("\n")) {
                    if (line.startsWith("id: ")) {
                        last = Integer.parseInt(line.substring(4));
                        root = root.isEmpty() ? attempt : root;
                    } else if (line.startsWith("data: ")) {
                        versions.add(line.split(" ")[2]);
                    }
                }
            }
        } catch (IOException | NumberFormatException e) {
            return "broken off";
        }
    }
}
