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
package io.trailladder.entry.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.testkit.EngineStandIn;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Two entries that work on the same request at one engine do not stop each other's attempts. */
class HttpEngineApiTest {
    private static final int TOKENS = 300;
    private static final long TIMEOUT_SECONDS = 20;
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;

    /** Waits for the first token and for the end of one attempt. */
    private static final class Recorder implements EngineApi.Listener {
        private final CountDownLatch firstToken = new CountDownLatch(1);
        private final CompletableFuture<Integer> end = new CompletableFuture<>();

        @Override
        public void token(String requestId, int attempt, int position, String text) {
            firstToken.countDown();
        }

        @Override
        public void ended(String requestId, int attempt, int tokens) {
            end.complete(tokens);
        }

        @Override
        public void failed(boolean sent, boolean garbage) {
            end.complete(-1);
        }

        void awaitFirstToken() throws InterruptedException {
            assertTrue(firstToken.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no token came");
        }
    }

    @Example
    void lateCancelAfterAHandOverDoesNotStopTheSuccessorsAttempt() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        EngineStandIn.Settings settings = new EngineStandIn.Settings(2, 100_000, 8, 100);
        try (EngineStandIn engine = new EngineStandIn("127.0.0.1", 0, settings);
                HttpClient client = new HttpClient(timer)) {
            engine.start();
            LocalUpstream upstream = new LocalUpstream("e-1", "a", engine.address(), "model");
            EngineApi.Attempt attempt =
                    new EngineApi.Attempt(
                            "request",
                            1,
                            "organisation",
                            "model",
                            "a prompt",
                            TOKENS,
                            List.of(),
                            "",
                            0);
            Recorder stopping = new Recorder();
            Recorder heir = new Recorder();
            EngineApi.RunningAttempt handedOver =
                    new HttpEngineApi(client, IDLE_TIMEOUT_MILLIS).generate(upstream, attempt, stopping);
            stopping.awaitFirstToken();
            new HttpEngineApi(client, IDLE_TIMEOUT_MILLIS).generate(upstream, attempt, heir);
            heir.awaitFirstToken();
            handedOver.cancel();
            assertEquals(TOKENS, heir.end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } finally {
            timer.shutdownNow();
        }
    }
}
