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
package io.trailladder.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.cli.fault.Caller.Reply;
import io.trailladder.cli.fault.Caller.Streamed;
import io.trailladder.cli.fault.Deployment.SpawnedEntry;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.testkit.ServiceStandIn;
import io.trailladder.testkit.StandIn.Fault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;

/** Promise: a request marked at-most-once runs at most once, and "not run" is true. */
class AtMostOnceFaultTest {
    private static final String ORGANISATION = "banco-sur";
    private static final String KEY = Deployment.key(ORGANISATION);

    private static Caller caller(EntryDaemon entry) {
        return new Caller(entry.self().callerAddress(), KEY);
    }

    private static Deployment twoDataCentres() throws IOException {
        Deployment system = new Deployment();
        system.service("s-a", "baires-a");
        system.service("s-b", "baires-b");
        system.table(List.of(ORGANISATION), List.of("baires-a", "baires-b"));
        system.entry("baires-a");
        system.entry("baires-a");
        system.entry("baires-b");
        system.awaitReady();
        return system;
    }

    /** What the caller is told must agree with what the service counted. */
    private static void assertTrueToRuns(Deployment system, String key, Reply reply) {
        int runs = system.runs(key);
        assertTrue(runs <= 1, key + " ran " + runs + " times");
        if (reply.outcome().equals("not-run")) {
            assertEquals(0, runs, key + " was told not-run: " + reply);
        }
    }

    @Example
    void serviceDiesBeforeDuringAndAfterTheRun() throws IOException {
        try (Deployment system = twoDataCentres()) {
            for (String mode : List.of("before", "after", "short", "garbage")) {
                for (EntryDaemon entry : system.entries) {
                    String key = mode + entry.self().id();
                    system.services.values().forEach(s -> s.fault(new Fault(mode, 1, 0, 0)));
                    Reply reply = caller(entry).once(key, "{}");
                    assertNotEquals(200, reply.status(), key);
                    assertEquals("unknown", reply.outcome(), key);
                    assertTrueToRuns(system, key, reply);
                    Reply again = caller(system.entries.get(0)).once(key, "{}");
                    assertEquals("unknown", again.outcome(), key + " asked again");
                    assertTrueToRuns(system, key, again);
                    system.services.values().forEach(s -> s.fault(new Fault("none", 0, 0, 0)));
                }
            }
        }
    }

    @Example
    void sameKeyAtTwoEntriesAtTheSameMomentRunsOnceInOneAndInTwoDataCentres() throws IOException {
        try (Deployment system = twoDataCentres()) {
            for (int i = 0; i < 30; i++) {
                String key = "twin-" + i;
                List<CompletableFuture<Reply>> replies = new ArrayList<>();
                for (EntryDaemon entry : system.entries) {
                    replies.add(CompletableFuture.supplyAsync(() -> caller(entry).once(key, "{}")));
                }
                List<Reply> done = replies.stream().map(CompletableFuture::join).toList();
                assertEquals(1, system.runs(key), key);
                for (Reply reply : done) {
                    boolean firstAnswer =
                            reply.status() == 200 && reply.body().contains("\"run\":1");
                    boolean toldToAskAgain =
                            reply.outcome().equals("unknown") && !reply.retryAfter().isEmpty();
                    assertTrue(firstAnswer || toldToAskAgain, key + " got " + reply);
                }
                // whoever was told to ask again gets the first answer
                for (EntryDaemon entry : system.entries) {
                    Deployment.await(
                            () -> caller(entry).once(key, "{}").body().contains("\"run\":1"));
                }
                assertEquals(1, system.runs(key), key);
            }
        }
    }

    @Example
    void callerThatAsksAgainAnywhereGetsTheFirstAnswer() throws IOException {
        try (Deployment system = twoDataCentres()) {
            Reply first = caller(system.entries.get(0)).once("again", "{}");
            for (EntryDaemon entry : system.entries) {
                Reply again = caller(entry).once("again", "{}");
                assertEquals(first.body(), again.body());
            }
            assertEquals(1, system.runs("again"));
            Reply other = caller(system.entries.get(1)).once("again", "{\"other\":1}");
            assertEquals(422, other.status());
        }
    }

    @Example
    void unreachableServiceIsToldNotRunAndTheKeyCanBeUsedAgain() throws IOException {
        try (Deployment system = new Deployment()) {
            ServiceStandIn service = system.service("s-a", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            EntryDaemon entry = system.entry("baires-a");
            system.awaitReady();
            service.close();
            Reply refused = caller(entry).once("gone", "{}");
            assertEquals("not-run", refused.outcome());
            assertNotEquals("", refused.retryAfter());
            system.service("s-b", "baires-a");
            Deployment.await(() -> caller(entry).once("gone", "{}").status() == 200);
            assertEquals(1, system.runs("gone"));
        }
    }

    @Example
    void platformOutageStopsNoClaimWhileOwnersLive() throws IOException {
        try (Deployment system = twoDataCentres()) {
            Deployment.pause(2_500);
            system.keyValue.fault(new Fault("down", Integer.MAX_VALUE, 0, 0));
            for (int i = 0; i < 30; i++) {
                Reply reply = caller(system.entries.get(i % 3)).once("outage-" + i, "{}");
                assertEquals(200, reply.status(), "key " + i + " got " + reply);
                assertEquals(1, system.runs("outage-" + i));
            }
        }
    }

    @Example
    void platformAnswersLostAfterTheEffectDoubleNothing() throws IOException {
        try (Deployment system = twoDataCentres()) {
            system.keyValue.fault(new Fault("lost", 60, 0, 0));
            system.entry("baires-b");
            for (int i = 0; i < 60; i++) {
                String key = "lost-" + i;
                EntryDaemon entry = system.entries.get(i % system.entries.size());
                assertTrueToRuns(system, key, caller(entry).once(key, "{}"));
                EntryDaemon next = system.entries.get((i + 1) % system.entries.size());
                assertTrueToRuns(system, key, caller(next).once(key, "{}"));
                Deployment.pause(20);
            }
        }
    }

    @Example
    void entryKilledFrozenAndRestartedWithCallsUnderWay() throws Exception {
        try (Deployment system = new Deployment()) {
            system.service("s-a", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            for (int i = 0; i < 3; i++) {
                system.spawn("baires-a");
            }
            system.awaitServing(ORGANISATION);
            List<String> keys = new ArrayList<>();
            List<CompletableFuture<Reply>> underWay = new ArrayList<>();
            system.services.get("s-a").fault(new Fault("slow", 40, 300, 0));
            for (int i = 0; i < 40; i++) {
                String key = "kill-" + i;
                Caller caller = new Caller(system.spawned.get(i % 3).callerAddress(), KEY);
                keys.add(key);
                underWay.add(CompletableFuture.supplyAsync(() -> caller.once(key, "{}")));
            }
            SpawnedEntry frozen = system.spawned.get(1);
            frozen.signal("STOP");
            system.spawned.get(0).process().destroyForcibly().waitFor();
            Caller survivor = new Caller(system.spawned.get(2).callerAddress(), KEY);
            for (int round = 0; round < 3; round++) {
                for (String key : keys) {
                    assertTrueToRuns(system, key, survivor.once(key, "{}"));
                }
                Deployment.pause(2_500);
            }
            frozen.signal("CONT");
            SpawnedEntry fresh = system.spawn("baires-a");
            Caller restarted = new Caller(fresh.callerAddress(), KEY);
            Deployment.await(() -> restarted.call("/services/calculo/x", "p").status() == 200);
            for (String key : keys) {
                assertTrueToRuns(system, key, restarted.once(key, "{}"));
                Caller woken = new Caller(frozen.callerAddress(), KEY);
                assertTrueToRuns(system, key, woken.once(key, "{}"));
            }
            for (CompletableFuture<Reply> reply : underWay) {
                reply.join();
            }
            keys.forEach(key -> assertTrue(system.runs(key) <= 1, key));
        }
    }

    /** A stream of a row that is not repeatable, whose entry is sent a signal in its middle. */
    private static Streamed streamWhoseEntryGets(String signal, Deployment system)
            throws Exception {
        system.engine("e-1", "baires-a");
        system.service("s-1", "baires-a");
        Table base = system.tables().load().join();
        List<String> here = List.of("baires-a");
        List<Row> rows =
                List.of(
                        Deployment.row(ORGANISATION, Deployment.MODEL, TargetKind.MODEL, here)
                                .notRepeatable(),
                        Deployment.row(ORGANISATION, Deployment.SERVICE, TargetKind.SERVICE, here));
        system.tables().commit(base, "once", "test", rows, List.of()).join().get();
        SpawnedEntry entry = system.spawn("baires-a", "--drain=100ms");
        system.spawn("baires-a");
        system.awaitServing(ORGANISATION);
        AtomicReference<Exception> failed = new AtomicReference<>();
        Streamed begun =
                new Caller(entry.callerAddress(), KEY)
                        .stream(
                                "once",
                                400,
                                token -> {
                                    if (token == 100) {
                                        try {
                                            entry.signal(signal);
                                        } catch (IOException | InterruptedException e) {
                                            failed.set(e);
                                        }
                                    }
                                });
        assertEquals(null, failed.get());
        return begun;
    }

    // Guards against a second run, at another entry, of a model request that runs at most once.
    @Example
    void modelRequestRunsOnceAlthoughItsEntryIsKilledOrStops() throws Exception {
        for (String signal : List.of("KILL", "TERM")) {
            try (Deployment system = new Deployment()) {
                Streamed begun = streamWhoseEntryGets(signal, system);
                assertTrue(!begun.whole() && begun.tokens() >= 100, signal + " " + begun.tokens());
                Caller other = new Caller(system.spawned.get(1).callerAddress(), KEY);
                Streamed rest = other.resume(begun.requestId(), begun.tokens() - 1);
                assertNotEquals(200, rest.status(), signal);
                Deployment.pause(500);
                assertEquals(1, system.engines.get("e-1").runs(), signal);
            }
        }
    }
}
