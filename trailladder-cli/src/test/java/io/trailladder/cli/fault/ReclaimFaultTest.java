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
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.cli.fault.Caller.Streamed;
import io.trailladder.cli.fault.Deployment.SpawnedEntry;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.testkit.EngineStandIn;
import io.trailladder.testkit.StandIn.Fault;
import io.trailladder.testkit.Tokens;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;

/** Promise: a request we have accepted survives any announced reclaim. */
class ReclaimFaultTest {
    private static final String ORGANISATION = "banco-sur";
    private static final String KEY = Deployment.key(ORGANISATION);
    private static final int TOKENS = 400;

    private static String prompt(int number) {
        return "expediente " + number + " ".repeat(5) + "datos ".repeat(200);
    }

    private static void assertWhole(String prompt, Streamed answer) {
        assertEquals(Tokens.answer(ORGANISATION, prompt, TOKENS), answer.text());
        assertTrue(answer.whole(), "answer has its end mark");
    }

    /** Opens streams and returns once each has some tokens. */
    private static List<CompletableFuture<Streamed>> open(
            List<Caller> callers, int count, ExecutorService pool) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(count);
        List<CompletableFuture<Streamed>> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prompt = prompt(i);
            Caller caller = callers.get(i % callers.size());
            streams.add(
                    CompletableFuture.supplyAsync(
                            () ->
                                    caller.stream(
                                            prompt,
                                            TOKENS,
                                            token -> {
                                                if (token == 20) {
                                                    begun.countDown();
                                                }
                                            }),
                            pool));
        }
        assertTrue(begun.await(15, TimeUnit.SECONDS), "streams began");
        return streams;
    }

    /** Waits for a stream's end; one that hangs is a failure, not a test that hangs. */
    private static Streamed ended(CompletableFuture<Streamed> stream) {
        return stream.orTimeout(60, TimeUnit.SECONDS).join();
    }

    private static void reclaimAndExpectWhole(String exportFault, int notice) throws Exception {
        ExecutorService pool = Executors.newCachedThreadPool();
        try (Deployment system = new Deployment()) {
            EngineStandIn first = system.engine("e-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            EntryDaemon entry = system.entry("baires-a");
            system.entry("baires-a");
            system.awaitReady();
            Caller caller = new Caller(entry.self().callerAddress(), KEY);
            List<CompletableFuture<Streamed>> streams = open(List.of(caller), 8, pool);
            system.engine("e-2", "baires-a");
            Deployment.await(() -> entry.status().upstreams().size() == 2);
            first.fault(new Fault(exportFault, 1000, 5_000, 0));
            system.cloud.reclaim("e-1", notice);
            for (int i = 0; i < streams.size(); i++) {
                assertWhole(prompt(i), ended(streams.get(i)));
            }
        } finally {
            pool.shutdownNow();
        }
    }

    @Example
    void engineReclaimed() throws Exception {
        reclaimAndExpectWhole("none", 1_500);
    }

    @Example
    void engineReclaimedWithExportSlowerThanTheNotice() throws Exception {
        reclaimAndExpectWhole("slow-export", 1_200);
    }

    @Example
    void engineReclaimedOnAlmostNoNotice() throws Exception {
        reclaimAndExpectWhole("none", 100);
    }

    @Example
    void allEnginesOfADataCentreReclaimedInWavesAndNoneIsLeftUntilLater() throws Exception {
        ExecutorService pool = Executors.newCachedThreadPool();
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.engine("e-2", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            EntryDaemon entry = system.entry("baires-a");
            system.awaitReady();
            Caller caller = new Caller(entry.self().callerAddress(), KEY);
            List<CompletableFuture<Streamed>> streams = open(List.of(caller), 12, pool);
            system.cloud.reclaim("e-1", 600);
            Deployment.pause(200);
            system.cloud.reclaim("e-2", 600);
            Deployment.pause(1_500);
            system.engine("e-3", "baires-a");
            for (int i = 0; i < streams.size(); i++) {
                assertWhole(prompt(i), ended(streams.get(i)));
            }
        } finally {
            pool.shutdownNow();
        }
    }

    @Example
    void entryKilledInMidStreamAndTheCallerFindsTheRestAtAnother() throws Exception {
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.service("s-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            system.spawn("baires-a");
            system.spawn("baires-a");
            system.awaitServing(ORGANISATION);
            SpawnedEntry killed = system.spawned.get(0);
            Caller caller = new Caller(killed.callerAddress(), KEY);
            Streamed cut =
                    caller.stream(
                            prompt(1),
                            TOKENS,
                            token -> {
                                if (token == 100) {
                                    killed.process().destroyForcibly();
                                }
                            });
            assertTrue(!cut.whole() && cut.tokens() >= 100, "stream was cut");
            Caller other = new Caller(system.spawned.get(1).callerAddress(), KEY);
            Streamed rest = resumeUntilFound(other, cut);
            assertEquals(Tokens.answer(ORGANISATION, prompt(1), TOKENS), cut.text() + rest.text());
            assertTrue(rest.whole());
        }
    }

    @Example
    void entryStoppedWithLittleTimeHandsItsStreamOver() throws Exception {
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.service("s-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            SpawnedEntry stopped = system.spawn("baires-a", "--drain=200ms");
            system.spawn("baires-a");
            system.awaitServing(ORGANISATION);
            Caller caller = new Caller(stopped.callerAddress(), KEY);
            AtomicReference<Exception> failed = new AtomicReference<>();
            Streamed begun =
                    caller.stream(
                            prompt(2),
                            TOKENS,
                            token -> {
                                if (token == 50) {
                                    try {
                                        stopped.signal("TERM");
                                    } catch (IOException | InterruptedException e) {
                                        failed.set(e);
                                    }
                                }
                            });
            assertTrue(begun.moved(), "caller is told that its stream moved");
            Caller other = new Caller(system.spawned.get(1).callerAddress(), KEY);
            Streamed rest = resumeUntilFound(other, begun);
            assertEquals(
                    Tokens.answer(ORGANISATION, prompt(2), TOKENS), begun.text() + rest.text());
            assertTrue(rest.whole());
        }
    }

    @Example
    void rollingStopOfEveryEntryUnderLoadCutsNothing() throws Exception {
        ExecutorService pool = Executors.newCachedThreadPool();
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.service("s-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            system.spawn("baires-a");
            system.spawn("baires-a");
            system.awaitServing(ORGANISATION);
            for (int round = 0; round < 2; round++) {
                SpawnedEntry stopped = system.spawned.get(round);
                Caller caller = new Caller(stopped.callerAddress(), KEY);
                List<CompletableFuture<Streamed>> streams = open(List.of(caller), 10, pool);
                SpawnedEntry next = system.spawn("baires-a");
                Caller fresh = new Caller(next.callerAddress(), KEY);
                Deployment.await(() -> fresh.call("/services/calculo/x", "p").status() == 200);
                stopped.signal("TERM");
                for (int i = 0; i < streams.size(); i++) {
                    assertWhole(prompt(i), ended(streams.get(i)));
                }
                assertEquals(143, stopped.process().waitFor());
            }
        } finally {
            pool.shutdownNow();
        }
    }

    @Example
    void servingEntriesLostOneAfterAnotherBehindARelayAreInvisibleToTheCaller() throws Exception {
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.service("s-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            system.spawn("baires-a");
            system.spawn("baires-a");
            system.spawn("baires-a");
            SpawnedEntry relay = system.spawn("baires-b");
            system.awaitServing(ORGANISATION);
            Caller caller = new Caller(relay.callerAddress(), KEY);
            Streamed answer =
                    caller.stream(
                            prompt(3),
                            TOKENS,
                            token -> {
                                if (token == 100 || token == 250) {
                                    system.killServing();
                                }
                            });
            assertWhole(prompt(3), answer);
        }
    }

    private static Streamed resumeUntilFound(Caller other, Streamed cut) {
        AtomicReference<Streamed> rest = new AtomicReference<>();
        Deployment.await(
                () -> {
                    rest.set(other.resume(cut.requestId(), cut.tokens() - 1));
                    return rest.get().status() == 200;
                });
        return rest.get();
    }
}
