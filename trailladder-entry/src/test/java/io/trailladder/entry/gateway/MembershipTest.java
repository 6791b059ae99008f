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
package io.trailladder.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.MeshListener;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/** When a process asks the store for the others. */
class MembershipTest {
    private final List<String> calls = new ArrayList<>();

    private void start(boolean firstStart) throws IOException {
        try (EventLoop loop = new EventLoop()) {
            GatewayMember self = new GatewayMember("e1", "a", "127.0.0.1:1", 1, 1);
            PeerMesh mesh = new PeerMesh(loop, self, Topology.oneRegion("a"), "1", new NoPeers());
            StoreHealth health = new StoreHealth(new GatewayMetrics());
            SplittableRandom random = new SplittableRandom(1);
            new Membership(loop, new CountingStore(), health, mesh, self, firstStart, random)
                    .start();
        }
    }

    @Example
    void restartedProcessListsTheMembersAtOnce() throws IOException {
        start(false);
        assertEquals(List.of("grant", "list " + Membership.PREFIX), calls);
    }

    @Example
    void processOfAFirstStartDelaysItsFirstList() throws IOException {
        start(true);
        assertEquals(List.of("grant"), calls);
    }

    /** Hears nobody. */
    private static final class NoPeers implements MeshListener {
        @Override
        public void linked(NodeHello peer) {}

        @Override
        public void received(NodeHello peer, NodeMessage message) {}

        @Override
        public boolean isNeeded() {
            return false;
        }
    }

    /** Records calls and answers none. */
    private final class CountingStore implements CoordinationStore {
        @Override
        public void onEpoch(EpochListener listener) {}

        @Override
        public void list(
                String prefix,
                String afterKey,
                Freshness freshness,
                Consumer<Either<StoreFailure, StoreBatch>> result) {
            calls.add("list " + prefix);
        }

        @Override
        public void read(String key, Consumer<Either<StoreFailure, StoreItem>> result) {
            calls.add("read");
        }

        @Override
        public Runnable watch(
                String prefix,
                long afterRevision,
                long waitMillis,
                Consumer<Either<StoreFailure, StoreBatch>> result) {
            calls.add("watch");
            return () -> {};
        }

        @Override
        public void write(StoreWrite write, Consumer<Either<StoreFailure, Long>> result) {
            calls.add("write");
        }

        @Override
        public void grant(long ttlMillis, Consumer<Either<StoreFailure, Long>> result) {
            calls.add("grant");
        }

        @Override
        public void renew(long lease, Consumer<Either<StoreFailure, Long>> result) {
            calls.add("renew");
        }

        @Override
        public void end(long lease, Consumer<Either<StoreFailure, Long>> result) {
            calls.add("end");
        }
    }
}
