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

import io.trailladder.entry.EntryDaemon;
import io.trailladder.testkit.EngineStandIn;
import io.trailladder.testkit.StandIn.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;

/** Promise: a leaving upstream gets no new work, though the instance list lags by 30 s. */
class LeavingFaultTest {
    private static final String ORGANISATION = "banco-sur";

    /** Sends requests until told to stop. */
    private static List<CompletableFuture<Void>> storm(
            Deployment system, AtomicBoolean over, ExecutorService pool) {
        List<CompletableFuture<Void>> senders = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int number = i;
            EntryDaemon entry = system.entries.get(i % system.entries.size());
            Caller caller = new Caller(entry.self().callerAddress(), Deployment.key(ORGANISATION));
            senders.add(
                    CompletableFuture.runAsync(
                            () -> {
                                for (int n = 0; !over.get(); n++) {
                                    caller.stream("p" + number + "-" + n, 5, token -> {});
                                }
                            },
                            pool));
        }
        return senders;
    }

    private static void noNewWorkAfterNotice(boolean platformCut) throws Exception {
        ExecutorService pool = Executors.newCachedThreadPool();
        AtomicBoolean over = new AtomicBoolean();
        try (Deployment system = new Deployment()) {
            EngineStandIn leaving = system.engine("e-1", "baires-a");
            EngineStandIn staying = system.engine("e-2", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            for (int i = 0; i < 3; i++) {
                system.entry("baires-a");
            }
            system.awaitReady();
            List<CompletableFuture<Void>> senders = storm(system, over, pool);
            Deployment.await(() -> leaving.runs() > 20 && staying.runs() > 20);
            if (platformCut) {
                system.keyValue.fault(new Fault("down", Integer.MAX_VALUE, 0, 0));
            }
            system.cloud.reclaim("e-1", 60_000);
            Deployment.pause(2_000);
            long runsAfterNotice = leaving.runs();
            long others = staying.runs();
            Deployment.await(() -> staying.runs() > others + 200);
            assertEquals(runsAfterNotice, leaving.runs(), "requests begun 2 s after the notice");
            over.set(true);
            senders.forEach(CompletableFuture::join);
        } finally {
            over.set(true);
            pool.shutdownNow();
        }
    }

    @Example
    void leavingEngineGetsNoNewWorkUnderAStormWithALaggingList() throws Exception {
        noNewWorkAfterNotice(false);
    }

    @Example
    void leavingEngineGetsNoNewWorkWhileThePlatformIsDown() throws Exception {
        noNewWorkAfterNotice(true);
    }
}
