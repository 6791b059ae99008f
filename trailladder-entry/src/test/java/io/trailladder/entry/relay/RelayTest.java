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
package io.trailladder.entry.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.RelayPeers;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.CallListener;
import io.trailladder.entry.http.ClientCall;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.http.OutgoingCall.UpstreamName;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.MeshListener;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.platform.http.HostPort;
import io.trailladder.testkit.ReservedPorts;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.RelayRequest;
import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** A call to an upstream that only a peer reaches, over real sockets. */
class RelayTest {
    private static final int PATIENCE_SECONDS = 20;
    private static final int TIMEOUT_MILLIS = PATIENCE_SECONDS * 1_000;
    private static final String UPSTREAM = "u1";

    /** Nobody listens at this port. */
    private static final int DEAD_PORT = 1;

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final List<String> observed = new CopyOnWriteArrayList<>();
    private final ReservedPorts ports = new ReservedPorts();
    private final UpstreamDirectory peerDirectory = new UpstreamDirectory();
    private final PathMonitor peerPaths = new PathMonitor(change -> {});
    private final PathMonitor ownPaths = new PathMonitor(change -> {});
    private EventLoop loop;
    private EventLoop peerLoop;
    private HttpConnector connector;
    private RelayServer relays;
    private GatewayMember peer;
    private ServerSocket upstream;

    /** Writes what it is told to a list. */
    private final class Recorder implements RelayObserver {
        @Override
        public void reached(String requestId, String name, String peer, long afterMillis) {
            observed.add("reached " + name + " through " + peer);
        }

        @Override
        public void notReached(String requestId, String name, String peer, RelayRefusal reason) {
            observed.add("not reached " + name + " through " + peer + ": " + reason);
        }

        @Override
        public void refused(String requestId, String name, String peer, RelayRefusal reason) {
            observed.add("refused " + peer + ": " + reason);
        }

        @Override
        public void relayed(String requestId, String name, String peer, Usage usage) {
            observed.add("relayed for " + peer + ": " + usage.end());
        }
    }

    /** Records the result of a call as one line. */
    private final class Call implements CallListener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Optional<String> peer = Optional.empty();
        private int status;

        @Override
        public void connected(Optional<String> relayedBy) {
            peer = relayedBy;
        }

        @Override
        public void head(int answered, HeaderList headers, long length) {
            status = answered;
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void ended() {
            results.add(status + " " + body.size() + " bytes through " + peer.orElse("none"));
        }

        @Override
        public void endedUnframed() {
            results.add(status + " " + body.size() + " bytes, unframed");
        }

        @Override
        public void failed(CallFailure failure) {
            results.add(failure + " after " + body.size() + " bytes");
        }
    }

    /** Takes no part in the exchange of messages. */
    private static final class NoMessages implements MeshListener {
        @Override
        public void linked(NodeHello peer) {}

        @Override
        public void received(NodeHello peer, NodeMessage message) {}

        @Override
        public boolean isNeeded() {
            return false;
        }
    }

    @BeforeTry
    void start() throws Exception {
        upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        upstream.setSoTimeout(TIMEOUT_MILLIS);
        loop = new EventLoop();
        loop.start();
        peerLoop = new EventLoop();
        peerLoop.start();
        GatewayMember self = member("self");
        peer = member("peer");
        peerDirectory.changed(
                new Upstream(
                        UPSTREAM,
                        "s",
                        "a",
                        "127.0.0.1:" + upstream.getLocalPort(),
                        8,
                        false,
                        false,
                        0));
        relays = new RelayServer(peerLoop, peerDirectory, peerPaths, new Recorder(), 0);
        on(peerLoop, () -> startMesh(List.of(self, peer)));
        connector = new HttpConnector(loop);
        connector.upstreams(
                new UpstreamDialer(
                        loop,
                        "self",
                        Topology.oneRegion("a"),
                        new UpstreamDirectory(),
                        ownPaths,
                        new RelayPeers("self", Topology.oneRegion("a"), new SplittableRandom(1)),
                        () -> List.of(self, peer),
                        new Recorder()));
    }

    private boolean startMesh(List<GatewayMember> members) throws IOException {
        PeerMesh mesh =
                new PeerMesh(peerLoop, peer, Topology.oneRegion("a"), "1", new NoMessages());
        mesh.relays(relays);
        mesh.members(members);
        mesh.start(HostPort.parse(peer.address()));
        return true;
    }

    private GatewayMember member(String name) throws IOException {
        return new GatewayMember(name, "a", "127.0.0.1:" + ports.reserve(), 1, 1);
    }

    @AfterTry
    void stop() throws IOException {
        upstream.close();
        loop.close();
        peerLoop.close();
        ports.close();
    }

    private interface Task<T> {
        T run() throws IOException;
    }

    private static <T> T on(EventLoop owner, Task<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        owner.execute(
                () -> {
                    try {
                        result.complete(task.run());
                    } catch (IOException | RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private ClientCall call(byte[] body) throws Exception {
        HostPort dead = new HostPort("127.0.0.1", DEAD_PORT);
        OutgoingCall call =
                new OutgoingCall(
                        dead,
                        "POST",
                        "/x",
                        HeaderList.of("Host", "h"),
                        body,
                        TIMEOUT_MILLIS,
                        TIMEOUT_MILLIS,
                        8,
                        Optional.of(new UpstreamName(UPSTREAM, "r1", TIMEOUT_MILLIS)));
        return on(loop, () -> connector.send(call, new Call()));
    }

    private String result() throws InterruptedException {
        return results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private Socket accept() throws IOException {
        Socket socket = upstream.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static byte[] read(InputStream in, int count) throws IOException {
        return in.readNBytes(count);
    }

    /** Reads up to the end of a head, and returns the length of the body that follows. */
    private static int readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended after: " + head);
            }
            head.append((char) next);
        }
        for (String line : head.toString().split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return 0;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void awaitObserved(String line) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!observed.contains(line)) {
            assertTrue(System.nanoTime() < end, line + " not in " + observed);
            Thread.sleep(10);
        }
    }

    @Example
    void largeBodiesPassUnchangedBothWays() throws Exception {
        byte[] body = new byte[3_000_000];
        new Random(1).nextBytes(body);
        call(body);
        try (Socket server = accept()) {
            InputStream in = server.getInputStream();
            assertEquals(body.length, readHead(in));
            assertTrue(Arrays.equals(body, read(in, body.length)), "the body has changed");
            send(server, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
            server.getOutputStream().write(body);
            assertEquals("200 3000000 bytes through peer", result());
            assertEquals(-1, in.read(), "the connection is not used again");
        }
        awaitObserved("relayed for self: PEER_CLOSED");
        assertEquals(0, (int) on(peerLoop, relays::open));
        assertEquals(0L, (long) on(peerLoop, relays::waitingBytes));
    }

    /** Guards against an answer without a length that looks whole though it broke. */
    @Example
    void theEndOfTheUpstreamsConnectionIsPassedOnAsItWas() throws Exception {
        call(new byte[0]);
        try (Socket server = accept()) {
            readHead(server.getInputStream());
            send(server, "HTTP/1.1 200 OK\r\n\r\nwhole");
        }
        assertEquals("200 5 bytes, unframed", result());
        call(new byte[0]);
        Socket server = accept();
        readHead(server.getInputStream());
        send(server, "HTTP/1.1 200 OK\r\n\r\npart");
        Thread.sleep(100);
        server.setSoLinger(true, 0);
        server.close();
        assertEquals("BROKEN after 4 bytes", result());
    }

    /** Guards against a relayed answer whose head is cut and that looks whole. */
    @Example
    void aHeadThatIsCutIsNoAnswer() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n";
        for (int length = 1; length < head.length(); length++) {
            call(new byte[0]);
            try (Socket server = accept()) {
                readHead(server.getInputStream());
                send(server, head.substring(0, length));
            }
            assertEquals("BROKEN after 0 bytes", result(), head.substring(0, length));
        }
    }

    /** Guards against taking the end of a peer for the end of an answer, or of the upstream. */
    @Example
    void theLossOfThePeerIsNoEndOfTheAnswer() throws Exception {
        call(new byte[0]);
        try (Socket server = accept()) {
            readHead(server.getInputStream());
            send(server, "HTTP/1.1 200 OK\r\n\r\npart");
            Thread.sleep(200);
            peerLoop.close();
            assertEquals("RELAY_LOST after 4 bytes", result());
        }
    }

    @Example
    void aCancelledCallEndsAtTheUpstream() throws Exception {
        ClientCall call = call(new byte[0]);
        try (Socket server = accept()) {
            InputStream in = server.getInputStream();
            readHead(in);
            on(
                    loop,
                    () -> {
                        call.cancel();
                        return true;
                    });
            int next;
            try {
                next = in.read();
            } catch (IOException e) {
                next = -1;
            }
            assertEquals(-1, next);
        }
    }

    /** Guards against bytes of an attempt that was given up in the answer of the next one. */
    @Example
    void bytesAfterACancelReachNobody() throws Exception {
        ClientCall call = call(new byte[0]);
        try (Socket first = accept()) {
            readHead(first.getInputStream());
            send(first, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
            on(
                    loop,
                    () -> {
                        call.cancel();
                        return true;
                    });
            try {
                send(first, " late");
            } catch (IOException e) {
                // the connection has been reset, which also keeps the bytes away
            }
            call(new byte[0]);
            try (Socket second = accept()) {
                readHead(second.getInputStream());
                send(second, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
                assertEquals("200 5 bytes through peer", result());
            }
        }
        assertTrue(results.isEmpty(), results.toString());
    }

    /** Guards against a peer that holds all that a slow caller has not yet read. */
    @Example
    void noMoreIsReadThanIsPassedOn() throws Exception {
        call(new byte[0]);
        try (Socket server = accept()) {
            readHead(server.getInputStream());
            byte[] part = new byte[1_000_000];
            int parts = 40;
            send(server, "HTTP/1.1 200 OK\r\nContent-Length: " + parts * part.length + "\r\n\r\n");
            CompletableFuture<Void> blocked = new CompletableFuture<>();
            loop.execute(blocked::join);
            List<Throwable> failures = new CopyOnWriteArrayList<>();
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < parts; i++) {
                                        server.getOutputStream().write(part);
                                    }
                                } catch (IOException e) {
                                    failures.add(e);
                                }
                            });
            writer.start();
            long most = 0;
            for (int i = 0; i < 100; i++) {
                most = Math.max(most, on(peerLoop, relays::waitingBytes));
                Thread.sleep(5);
            }
            blocked.complete(null);
            writer.join();
            assertEquals(new ArrayList<>(), failures);
            assertEquals("200 40000000 bytes through peer", result());
            assertTrue(most > 0 && most <= 256 * 1024, most + " bytes waited");
        }
    }

    @Example
    void anUpstreamThatNobodyReachesIsUnreachable() throws Exception {
        upstream.close();
        call(new byte[0]);
        assertEquals("UNREACHABLE after 0 bytes", result());
        assertTrue(
                observed.contains("not reached u1 through peer: UNREACHABLE"), observed.toString());
    }

    /** Guards against relaying through a peer that is cut as well, and so in circles. */
    @Example
    void aPeerThatReachesNothingItselfRefuses() throws Exception {
        on(
                peerLoop,
                () -> {
                    peerPaths.openedThroughPeer("u8", loop.nowMillis());
                    peerPaths.openedThroughPeer("u9", loop.nowMillis());
                    return true;
                });
        call(new byte[0]);
        assertEquals("UNREACHABLE after 0 bytes", result());
        assertTrue(observed.contains("refused self: NO_PATH"), observed.toString());
    }

    @Example
    void aPeerThatStopsOrDoesNotKnowTheUpstreamRefuses() throws Exception {
        on(peerLoop, () -> peerDirectory.removed(UPSTREAM));
        call(new byte[0]);
        assertEquals("UNREACHABLE after 0 bytes", result());
        assertTrue(observed.contains("refused self: UNKNOWN_UPSTREAM"), observed.toString());
        on(
                peerLoop,
                () -> {
                    relays.stop();
                    return true;
                });
        call(new byte[0]);
        assertEquals("UNREACHABLE after 0 bytes", result());
        assertTrue(observed.contains("refused self: STOPPING"), observed.toString());
    }

    /** Guards against an open proxy: only known processes are served. */
    @Example
    void nobodyElseIsServed() throws Exception {
        HostPort address = HostPort.parse(peer.address());
        try (Socket stranger = new Socket(address.host(), address.port())) {
            stranger.setSoTimeout(TIMEOUT_MILLIS);
            RelayRequest request =
                    new RelayRequest("stranger", UPSTREAM, "r1", TIMEOUT_MILLIS, TIMEOUT_MILLIS);
            stranger.getOutputStream().write(PeerCodec.encode(request));
            List<PeerMessage> answers = new ArrayList<>();
            byte[] received = stranger.getInputStream().readAllBytes();
            for (int at = 0; at < received.length; ) {
                int from = at + PeerCodec.LENGTH_BYTES;
                int length = ByteBuffer.wrap(received).getInt(at);
                answers.add(PeerCodec.decode(received, from, from + length));
                at = from + length;
            }
            assertEquals(1, answers.size(), answers.toString());
            assertTrue(answers.get(0) instanceof NodeHello, answers.toString());
        }
        assertEquals(0, (int) on(peerLoop, relays::open));
    }
}
