import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client that asks for one stream, and takes it up again within its deadline, a few times and on
 * new connections, as the pages tell it.
 */
final class StreamClient {
    private static final long[] PAUSES_MILLIS = {500, 1_000, 1_500};
    private static final int READ_TIMEOUT_MILLIS = 4_000;

    final String name;
    final List<Integer> numbers = new ArrayList<>();
    final List<String> versions = new ArrayList<>();
    private final Rig rig;
    private final long deadlineMillis;
    private final int firstGateway;
    private String beganWith = "";
    private boolean whole;

    StreamClient(Rig rig, String name, int firstGateway, long waitMillis) {
        this.rig = rig;
        this.name = name;
        this.firstGateway = firstGateway;
        this.deadlineMillis = Rig.now() + waitMillis;
    }

    boolean isWhole() {
        return whole;
    }

    void run() throws InterruptedException {
        for (int tries = 0; !whole && tries <= PAUSES_MILLIS.length; tries++) {
            if (tries > 0) {
                Thread.sleep(PAUSES_MILLIS[tries - 1]);
            }
            long left = deadlineMillis - Rig.now();
            if (left <= 0) {
                return;
            }
            String attempt = name + "-" + tries;
            Rig.GatewayProcess gateway =
                    rig.gateways.get((firstGateway + tries) % rig.gateways.size());
            try {
                attempt(attempt, gateway, left);
            } catch (IOException e) {
                rig.log("try " + attempt + " at " + gateway.name + " broke: " + e.getMessage());
            }
        }
    }

    private void attempt(String attempt, Rig.GatewayProcess gateway, long left) throws IOException {
        int colon = gateway.callers.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            "127.0.0.1", Integer.parseInt(gateway.callers.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String taken =
                    beganWith.isEmpty()
                            ? ""
                            : "Last-Event-Id: "
                                    + numbers.get(numbers.size() - 1)
                                    + "\r\nResumes: "
                                    + beganWith
                                    + "\r\n";
            String head =
                    "POST /consulta/q HTTP/1.1\r\nHost: plata.example\r\nAttempt-Id: "
                            + attempt
                            + "\r\n"
                            + taken
                            + "Model: m\r\nToken-Usage: 715,96\r\nPrefix-Hash: 5c1e07a2:172,"
                            + String.format("%08x", name.hashCode())
                            + ":543\r\nDeadline-Ms: "
                            + left
                            + "\r\nAuthorization: Bearer clave-oficina\r\nConnection: close\r\n"
                            + "Content-Length: "
                            + name.length()
                            + "\r\n\r\n"
                            + name;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            rig.log("sent " + attempt + " to " + gateway.name + " " + taken.replace("\r\n", "; "));
            read(attempt, new BufferedInputStream(socket.getInputStream()));
        }
    }

    private void read(String attempt, InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).split(" ")[1]);
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            // the fields of the head do not matter here
        }
        if (status != 200) {
            rig.log("answered " + attempt + ": " + status);
            return;
        }
        StringBuilder event = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(line(in).trim(), 16);
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new EOFException("inside a chunk");
            }
            line(in);
            event.append(new String(bytes, StandardCharsets.UTF_8));
            for (int end = event.indexOf("\n\n"); end >= 0; end = event.indexOf("\n\n")) {
                received(attempt, event.substring(0, end));
                event.delete(0, end + 2);
            }
            if (size == 0) {
                whole = true;
                rig.log("answered " + attempt + ": whole, " + summary());
                return;
            }
        }
    }

    private void received(String attempt, String event) {
        if (beganWith.isEmpty()) {
            beganWith = attempt;
        }
        String[] lines = event.split("\n");
        numbers.add(Integer.parseInt(lines[0].substring("id: ".length())));
        versions.add(lines[1].substring("data: ".length()).split(" ")[0]);
    }

    /** Describes from which versions the events came, for example "1 to 9 of v1, 10 to 32 of v2". */
    String summary() {
        List<String> parts = new ArrayList<>();
        for (int from = 0; from < numbers.size(); ) {
            int to = from;
            while (to + 1 < numbers.size() && versions.get(to + 1).equals(versions.get(from))) {
                to++;
            }
            parts.add(numbers.get(from) + " to " + numbers.get(to) + " of " + versions.get(from));
            from = to + 1;
        }
        return String.join(", ", parts);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            } else if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
