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

import static io.trailladder.adapter.GatewayRunner.onLoop;

import io.trailladder.adapter.PlatformStandIn;
import io.trailladder.cli.soak.FaultProxy.Mode;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * Gateways as processes, each with paths of its own to the store and to its peers, and upstreams of
 * several versions.
 */
final class StreamCluster implements AutoCloseable {
    private static final long READY_MILLIS = 25_000;
    private static final long CHECK_MILLIS = 50;

    /** How long a process must have run undisturbed to count as in touch, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final String CONFIG =
            """
            {"version": 1,
             "routes": [
               {"name": "stream", "host": "h.example", "path_prefix": "/stream/",
                "route_type": "streaming", "timeout_ms": 10000, "slo_ms": 800, "service": "m",
                "max_attempts": 3, "sticky": true, "resumable": true}],
             "services": [{"name": "m", "max_conns": 400}],
             "tenants": [{"name": "t", "api_keys": ["key"]}]}
            """;

    private final EventLoop loop = new EventLoop();
    private final PlatformStandIn platform;
    private final StreamReleases releases;
    private final Path folder;
    private final List<Node> nodes = new ArrayList<>();
    private volatile long lossNanos = System.nanoTime();

    /** A gateway, its paths to its peers, and what disturbs it. */
    private static final class Node {
        final SoakGateway gateway;
        final PeerPaths peers = new PeerPaths();
        private int storeCuts;
        private int peerCuts;
        private int disturbances;
        private long undisturbedNanos;
        private boolean ready;

        Node(String name, Path folder, PlatformStandIn platform) throws IOException {
            UnaryOperator<String> same = UnaryOperator.identity();
            UnaryOperator<String> view = value -> view(name, value);
            HostPort store =
                    platform.view(Map.of("servers/", same, "trailladder/live/node/", view));
            gateway = new SoakGateway(name, folder, store);
        }

        private String view(String name, String entry) {
            return entry.contains('"' + name + '"') ? entry : peers.view(entry);
        }

        synchronized void disturb(int more) {
            disturbances += more;
            undisturbedNanos = System.nanoTime();
        }

        synchronized void ready(boolean now) {
            if (now != ready) {
                ready = now;
                undisturbedNanos = System.nanoTime();
            }
        }

        synchronized boolean isReady() {
            return ready;
        }

        synchronized boolean isInTouch() {
            long millis = (System.nanoTime() - undisturbedNanos) / 1_000_000;
            return ready && disturbances == 0 && millis >= CONTACT_MILLIS;
        }
    }

    StreamCluster(String name, int processes, SplittableRandom random, StreamObservations record)
            throws Exception {
        folder = Files.createTempDirectory(Path.of("target"), name + '-');
        loop.start();
        platform = onLoop(loop, () -> new PlatformStandIn(loop));
        platform.putAndWait("op/config", CONFIG);
        releases = new StreamReleases(loop, platform, random, record);
        releases.release();
        for (int i = 0; i < processes; i++) {
            String node = "g" + i;
            nodes.add(onLoop(loop, () -> new Node(node, folder, platform)));
        }
        connect();
        for (Node node : nodes) {
            node.gateway.start(true);
        }
        awaitReady();
        Thread.sleep(CONTACT_MILLIS);
    }

    private void connect() {
        for (Node from : nodes) {
            for (Node to : nodes) {
                if (from != to) {
                    from.peers.add(to.gateway.peers(), to.peers::view);
                }
            }
        }
    }

    StreamReleases releases() {
        return releases;
    }

    Path folder() {
        return folder;
    }

    int size() {
        return nodes.size();
    }

    HostPort callers(int index) {
        return nodes.get(index).gateway.callers();
    }

    /** Returns whether at some moment since a time no gateway ran. */
    boolean hasLostAllSince(long nanos) {
        return lossNanos - nanos > 0;
    }

    /** Returns whether a gateway has been ready and undisturbed for some time. */
    boolean isInTouch(int index) {
        return nodes.get(index).isInTouch();
    }

    /** Begins or ends a cut of a gateway from the store. */
    void cutStore(int index, boolean now) throws IOException {
        Node cut = nodes.get(index);
        cut.storeCuts += now ? 1 : -1;
        cut.gateway.store().mode(cut.storeCuts > 0 ? Mode.HANG : Mode.PASS);
        cut.disturb(now ? 1 : -1);
    }

    /** Begins or ends a cut of a gateway from all its peers. */
    void cutPeers(int index, boolean now) throws IOException {
        Node cut = nodes.get(index);
        cut.peerCuts += now ? 1 : -1;
        for (Node node : nodes) {
            if (node != cut) {
                link(cut, node);
                link(node, cut);
            }
        }
        cut.disturb(now ? 1 : -1);
    }

    /** Has a path between gateways hang while one of both is cut off, and pass otherwise. */
    private static void link(Node from, Node to) throws IOException {
        boolean hangs = from.peerCuts + to.peerCuts > 0;
        from.peers.mode(to.gateway.peers(), hangs ? Mode.HANG : Mode.PASS);
    }

    /** Freezes a gateway, or wakes it. */
    void freeze(int index, boolean now) throws IOException, InterruptedException {
        nodes.get(index).gateway.signal(now ? "STOP" : "CONT");
        nodes.get(index).disturb(now ? 1 : -1);
    }

    /** Kills a gateway. */
    void kill(int index) throws InterruptedException {
        nodes.get(index).disturb(1);
        nodes.get(index).gateway.kill();
        nodes.get(index).ready(false);
        if (nodes.stream().noneMatch(node -> node.gateway.isRunning())) {
            lossNanos = System.nanoTime();
        }
    }

    /** Starts a gateway that was killed. */
    void start(int index) throws IOException {
        SoakGateway gateway = nodes.get(index).gateway;
        if (!gateway.isRunning()) {
            gateway.start(false);
        }
        nodes.get(index).disturb(-1);
    }

    /** Notes which of the gateways that were started are ready by now. */
    boolean checkReady() {
        boolean all = true;
        for (Node node : nodes) {
            if (!node.isReady() && node.gateway.isRunning() && node.gateway.isReady()) {
                node.ready(true);
            }
            all &= node.isReady();
        }
        return all;
    }

    /** Waits until all gateways are ready; returns false if that takes too long. */
    boolean awaitReady() throws InterruptedException {
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (!checkReady()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(CHECK_MILLIS);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            node.gateway.close();
            node.peers.close();
        }
        releases.close();
        loop.close();
    }
}
