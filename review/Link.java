import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy on the path to a worker. When it is cut, the open connections are reset and new ones
 * hang: the queue of its socket is full, so that their opening packets are dropped.
 */
final class Link implements AutoCloseable {
    private static final int FILLING = 4;

    private final String host;
    private final int targetPort;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> filling = new ArrayList<>();
    private ServerSocket server;

    Link(String target) throws IOException {
        int colon = target.lastIndexOf(':');
        this.host = target.substring(0, colon);
        this.targetPort = Integer.parseInt(target.substring(colon + 1));
        this.server = bind(0, 64);
        this.port = server.getLocalPort();
        ServerSocket first = server;
        Rig.daemon(() -> accept(first));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void cut() throws Exception {
        server.close();
        ServerSocket full = bindAgain(1);
        for (int i = 0; i < FILLING; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(new InetSocketAddress("127.0.0.1", port));
            filling.add(filler);
        }
        server = full;
        for (Socket socket : open) {
            reset(socket);
        }
    }

    synchronized void heal() throws Exception {
        server.close();
        for (SocketChannel each : filling) {
            each.close();
        }
        filling.clear();
        ServerSocket next = bindAgain(64);
        server = next;
        Rig.daemon(() -> accept(next));
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        for (SocketChannel each : filling) {
            each.close();
        }
        open.forEach(Link::reset);
    }

    private static ServerSocket bind(int port, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog);
        return socket;
    }

    private ServerSocket bindAgain(int backlog) throws Exception {
        for (int tries = 1; ; tries++) {
            try {
                return bind(port, backlog);
            } catch (IOException e) {
                if (tries == 100) {
                    throw e;
                }
                Thread.sleep(5);
            }
        }
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket caller = from.accept();
                Socket callee = new Socket(host, targetPort);
                open.add(caller);
                open.add(callee);
                Rig.daemon(() -> pump(caller, callee));
                Rig.daemon(() -> pump(callee, caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
                out.flush();
            }
            from.close();
            to.close();
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
        open.remove(from);
        open.remove(to);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
