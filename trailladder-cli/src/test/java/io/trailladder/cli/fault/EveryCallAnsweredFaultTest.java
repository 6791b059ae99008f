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

import io.trailladder.cli.fault.Caller.Reply;
import io.trailladder.entry.EntryDaemon;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;

/** Promise: every call that an entry has read gets an answer, however many come at once. */
class EveryCallAnsweredFaultTest {
    private static final String ORGANISATION = "banco-sur";
    private static final int ROUNDS = 1_500;
    private static final int AT_ONCE = 4;

    @Example
    void manyCallsAtOnceOnKeptConnectionsAreAllAnswered() throws IOException {
        try (Deployment system = new Deployment()) {
            system.service("s-1", "baires-a");
            system.table(List.of(ORGANISATION), List.of("baires-a"));
            EntryDaemon entry = system.entry("baires-a");
            system.awaitReady();
            Caller caller = new Caller(entry.self().callerAddress(), Deployment.key(ORGANISATION));
            for (int round = 0; round < ROUNDS; round++) {
                String body = "round " + round;
                List<CompletableFuture<Reply>> replies = new ArrayList<>();
                for (int call = 0; call < AT_ONCE; call++) {
                    replies.add(
                            CompletableFuture.supplyAsync(
                                    () -> caller.call("/services/calculo/x", body)));
                }
                for (CompletableFuture<Reply> reply : replies) {
                    assertEquals(200, reply.join().status(), body + " got " + reply.join());
                }
            }
        }
    }
}
