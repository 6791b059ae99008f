/*
 * Copyright 2026 The trailladder authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package io.trailladder.cli.soak;

import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** A loopback proxy that can delay, reset, silence or cut what passes through it. */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long DELAY_MILLIS = 120;
    private static final long HELD_CHECK_MILLIS = 10;

    private static final int BACKLOG = 64;
    private static final int ACCEPT_CHECK_MILLIS = 20;

    private static final int MAX_BIND_TRIES = 100;

    /** Connections that fill the queue of a socket that accepts none. */
    private static final int FILLING = 4;

    private final HostPort target;
    private final InetAddress host;
    private final Rewriting rewriting;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<SocketChannel> filling = new ArrayList<>();
    private volatile ServerSocket server;
    private Socket reserved = new Socket();
    private volatile Mode mode = Mode.PASS;
    private volatile boolean closed;

    /** What becomes of bytes. */
    enum Mode {
        /** They pass. */
        PASS,
        /** They pass later. */
        DELAY,
        /** Neither way anything passes; connections stay open. */
        SILENT,
        /** Requests pass, answers do not. */
        NO_ANSWERS,
        /** Connections are reset, new ones as well. */
        RESET,
        /** Neither way anything passes; connections stay open, and none can be opened. */
        HANG,
        /** Connections are reset, and new ones refused. */
        CUT,
        /** New connections are refused; those that are open go on. */
        REFUSE_NEW;

        private boolean holds() {
            return this == SILENT || this == HANG;
        }

        private boolean resets() {
            return this == RESET || this == CUT;
        }

        private boolean refuses() {
            return this == CUT || this == REFUSE_NEW;
        }
    }

    /**
     * Changes to what passes, one character a byte; the length must stay.
     *
     * @param requests changes what those send that connect
     * @param answers changes what the target sends
     */
    record Rewriting(UnaryOperator<String> requests, UnaryOperator<String> answers) {
        static final Rewriting NONE =
                new Rewriting(UnaryOperator.identity(), UnaryOperator.identity());

        byte[] rewritten(byte[] bytes, int count, boolean isAnswer) {
            String read = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
            UnaryOperator<String> change = isAnswer ? answers : requests;
            return change.apply(read).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    FaultProxy(HostPort target) throws IOException {
        this(target, InetAddress.getLoopbackAddress(), Rewriting.NONE);
    }

    /** Starts a proxy that listens at some address of this machine. */
    FaultProxy(HostPort target, InetAddress host, Rewriting rewriting) throws IOException {
        this.target = target;
        this.host = host;
        this.rewriting = rewriting;
        this.server = new ServerSocket(0, BACKLOG, host);
        this.port = server.getLocalPort();
        server.setSoTimeout(ACCEPT_CHECK_MILLIS);
        daemon(this::accept);
    }

    HostPort address() {
        return new HostPort(host.getHostAddress(), port);
    }

    /** Sets what becomes of bytes; at once also for connections that are open. */
    synchronized void mode(Mode next) throws IOException {
        Mode before = mode;
        mode = next;
        if (next.refuses() != before.refuses() || (next == Mode.HANG) != (before == Mode.HANG)) {
            listen(next);
        }
        if (next.resets()) {
            open.forEach(FaultProxy::reset);
        }
    }

    /**
     * Listens, or refuses connections, or leaves them unanswered: a connection to a socket whose
     * queue is full is neither accepted nor refused.
     */
    private void listen(Mode next) throws IOException {
        server.close();
        for (SocketChannel each : filling) {
            each.close();
        }
        filling.clear();
        reserved.close();
        if (next.refuses()) {
            reserved = bindAgain(this::reserve);
            return;
        }
        int backlog = next == Mode.HANG ? 1 : BACKLOG;
        ServerSocket socket = bindAgain(() -> new ServerSocket(port, backlog, host));
        socket.setSoTimeout(ACCEPT_CHECK_MILLIS);
        if (next == Mode.HANG) {
            for (int i = 0; i < FILLING; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(socket.getLocalSocketAddress());
                filling.add(filler);
            }
        }
        server = socket;
    }

    /**
     * Binds to the port without listening, so that connections are refused and no other process
     * takes the port meanwhile.
     */
    private Socket reserve() throws IOException {
        Socket socket = new Socket();
        try {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port));
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Binds to the port, which stays bound until the thread that accepts notices the close. */
    private static <S> S bindAgain(Binding<S> binding) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                return binding.bind();
            } catch (BindException e) {
                if (tries == MAX_BIND_TRIES) {
                    throw e;
                }
                pause(HELD_CHECK_MILLIS);
            }
        }
    }

    /** Binds a socket to the port of the proxy. */
    @FunctionalInterface
    private interface Binding<S> {
        S bind() throws IOException;
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
        reserved.close();
        open.forEach(FaultProxy::reset);
    }

    private void accept() {
        while (!closed) {
            if (mode == Mode.HANG || server.isClosed()) {
                pause(HELD_CHECK_MILLIS);
                continue;
            }
            try {
                Socket caller = server.accept();
                if (mode == Mode.RESET) {
                    reset(caller);
                    continue;
                }
                Socket callee = connect(caller);
                open.add(caller);
                open.add(callee);
                AtomicInteger ended = new AtomicInteger();
                daemon(() -> pump(caller, callee, false, ended));
                daemon(() -> pump(callee, caller, true, ended));
            } catch (IOException e) {
                // closed, or the target is not there
            }
        }
    }

    /** Connects to the target; the caller sees its connection end if that is not there. */
    private Socket connect(Socket caller) throws IOException {
        try {
            return new Socket(target.host(), target.port());
        } catch (IOException e) {
            reset(caller);
            throw e;
        }
    }

    private void pump(Socket from, Socket to, boolean answers, AtomicInteger ended) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            int count = in.read(buffer);
            while (count >= 0 && write(to, buffer, count, answers)) {
                count = in.read(buffer);
            }
            hold(answers);
            if (ended.incrementAndGet() == 2) {
                close(from);
                close(to);
            } else if (count < 0) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    /** Returns whether the receiver is there. What it sent before it ended must still pass. */
    private boolean write(Socket to, byte[] bytes, int count, boolean answers) throws IOException {
        hold(answers);
        try {
            to.getOutputStream().write(rewriting.rewritten(bytes, count, answers));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void close(Socket socket) throws IOException {
        socket.close();
        open.remove(socket);
    }

    private void hold(boolean answers) throws IOException {
        if (mode == Mode.DELAY) {
            pause(DELAY_MILLIS);
        }
        while (mode.holds() || (answers && mode == Mode.NO_ANSWERS)) {
            if (closed) {
                throw new IOException("closed");
            }
            pause(HELD_CHECK_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // it is closed already
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
