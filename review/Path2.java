import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A path to an address that passes bytes on, or resets, or falls silent. */
final class Path2 {
    /** What the path does. */
    enum Mode {
        /** Passes bytes on. */
        PASS,
        /** Passes nothing on, and opens no connection that works. */
        SILENT,
        /** Resets all connections and refuses new ones. */
        REFUSE
    }

    private final ServerSocket server;
    private final String target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    volatile Mode mode = Mode.PASS;

    private static final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void reset() {
            for (Socket socket : new Socket[] {near, far}) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // is closed already
                }
            }
        }
    }

    Path2(String target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(Gateway2.HOST));
        Tasks2.daemon(this::accept);
    }

    String address() {
        return Gateway2.HOST + ":" + server.getLocalPort();
    }

    /** Lets the connections that are open now fall silent for good; new ones work. */
    void silenceOpen() {
        links.forEach(link -> link.silent = true);
    }

    void resetOpen() {
        links.forEach(Link::reset);
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.REFUSE) {
            resetOpen();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = server.accept();
            near.setTcpNoDelay(true);
            if (mode == Mode.REFUSE) {
                near.setSoLinger(true, 0);
                near.close();
                continue;
            }
            Tasks2.daemon(() -> open(near));
        }
    }

    private void open(Socket near) throws Exception {
        int colon = target.indexOf(':');
        Socket far;
        try {
            far =
                    new Socket(
                            target.substring(0, colon),
                            Integer.parseInt(target.substring(colon + 1)));
        } catch (IOException e) {
            near.setSoLinger(true, 0);
            near.close();
            return;
        }
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.add(link);
        Tasks2.daemon(() -> pump(link, near, far));
        pump(link, far, near);
    }

    private void pump(Link link, Socket from, Socket to) throws Exception {
        byte[] bytes = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                while (link.silent || mode == Mode.SILENT) {
                    Thread.sleep(5);
                    if (from.isClosed()) {
                        return;
                    }
                }
                out.write(bytes, 0, count);
            }
            while (link.silent || mode == Mode.SILENT) {
                Thread.sleep(5);
            }
            to.shutdownOutput();
            if (from.isOutputShutdown() || to.isInputShutdown()) {
                links.remove(link);
            }
        } catch (IOException e) {
            link.reset();
            links.remove(link);
        }
    }
}
