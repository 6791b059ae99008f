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
import io.trailladder.entry.EntryDaemon;
import io.trailladder.testkit.EngineStandIn;
import io.trailladder.testkit.StandIn.Fault;
import io.trailladder.testkit.Tokens;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Promise: a caller gets the whole answer to its own request, or a loud failure. */
class WholeAnswersProperties {
    private static final List<String> ORGANISATIONS =
            List.of("banco-sur", "brokers-norte", "sucursales", "agro-cuyo", "vivienda-sol");
    private static final List<String> FAULTS =
            List.of("refuse", "cut", "double", "cross", "garbage", "short");
    private static final int STREAMS = 64;
    private static final int TOKENS = 60;

    private static Deployment deployment() throws Exception {
        Deployment system = new Deployment();
        for (int i = 0; i < 4; i++) {
            system.engine("e-" + i, "baires-a");
        }
        system.table(ORGANISATIONS, List.of("baires-a"));
        system.entry("baires-a");
        system.entry("baires-a");
        system.awaitReady();
        return system;
    }

    @Property(tries = 3, seed = "20261202")
    void concurrentStreamsUnderRandomUpstreamFaultsAreWholeOrFailAloud(@ForAll long seed)
            throws Exception {
        Random random = new Random(seed);
        ExecutorService pool = Executors.newCachedThreadPool();
        try (Deployment system = deployment()) {
            List<CompletableFuture<Streamed>> streams = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                EntryDaemon entry = system.entries.get(i % 2);
                Caller caller =
                        new Caller(
                                entry.self().callerAddress(),
                                Deployment.key(ORGANISATIONS.get(i % 5)));
                streams.add(
                        CompletableFuture.supplyAsync(
                                () -> caller.stream("pregunta " + number, TOKENS, token -> {}),
                                pool));
                for (EngineStandIn engine : system.engines.values()) {
                    String mode = FAULTS.get(random.nextInt(FAULTS.size()));
                    engine.fault(new Fault(mode, random.nextInt(2), 0, random.nextInt(TOKENS)));
                }
                Deployment.pause(random.nextInt(8));
            }
            int whole = 0;
            for (int i = 0; i < STREAMS; i++) {
                Streamed answer = streams.get(i).join();
                String expected = Tokens.answer(ORGANISATIONS.get(i % 5), "pregunta " + i, TOKENS);
                assertTrue(
                        expected.startsWith(answer.text()),
                        "stream " + i + " has tokens that are not its own, seed " + seed);
                if (answer.whole()) {
                    assertEquals(expected, answer.text(), "stream " + i + ", seed " + seed);
                    whole++;
                }
            }
            System.out.println("seed " + seed + ": " + whole + " of " + STREAMS + " whole");
        } finally {
            pool.shutdownNow();
        }
    }

    @Example
    void eachFrameFaultAloneStillGivesTheWholeAnswer() throws Exception {
        try (Deployment system = deployment()) {
            for (String mode : FAULTS) {
                system.engines.values().forEach(e -> e.fault(new Fault(mode, 1, 0, 10)));
                Caller caller =
                        new Caller(
                                system.entries.get(0).self().callerAddress(),
                                Deployment.key("banco-sur"));
                Streamed answer = caller.stream("falla " + mode, TOKENS, token -> {});
                assertEquals(
                        Tokens.answer("banco-sur", "falla " + mode, TOKENS), answer.text(), mode);
                assertTrue(answer.whole(), mode);
            }
        }
    }
}
