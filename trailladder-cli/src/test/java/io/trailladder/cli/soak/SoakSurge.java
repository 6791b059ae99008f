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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Callers of one organisation that all ask at the same moment, again and again: each gateway gets
 * as many requests at once as the limit allows to all of them together.
 */
final class SoakSurge implements Runnable {
    private static final long PAUSE_MILLIS = 1_200;

    /** Longer than the time-out of the route, so that every request is answered before. */
    private static final Duration TIMEOUT = Duration.ofSeconds(4);

    private final List<HostPort> gateways;
    private final BooleanSupplier going;
    private final LongSupplier nowMillis;
    private final Calm calm;
    private final Queue<String> violations;
    private final Runnable afterAsking;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(500))
                    .build();
    private int asked;

    /** Tells which gateways have not been disturbed. */
    interface Calm {
        /** Returns whether a gateway has run without a disturbance since a time. */
        boolean isCalmSince(HostPort gateway, long millis);
    }

    SoakSurge(
            List<HostPort> gateways,
            BooleanSupplier going,
            LongSupplier nowMillis,
            Calm calm,
            Queue<String> violations,
            Runnable afterAsking) {
        this.gateways = gateways;
        this.going = going;
        this.nowMillis = nowMillis;
        this.calm = calm;
        this.violations = violations;
        this.afterAsking = afterAsking;
    }

    @Override
    public void run() {
        while (going.getAsBoolean()) {
            try {
                surge();
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void surge() throws InterruptedException {
        List<CompletableFuture<?>> answers = new ArrayList<>();
        for (int i = 0; i < OrganisationLimitCheck.PER_SECOND; i++) {
            for (HostPort gateway : gateways) {
                answers.add(ask(gateway));
            }
        }
        afterAsking.run();
        CompletableFuture<?> all =
                CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
        try {
            all.handle((ended, failure) -> null)
                    .get(TIMEOUT.toMillis() + PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            answers.forEach(answer -> answer.cancel(true));
        }
    }

    private CompletableFuture<?> ask(HostPort gateway) {
        String attempt = OrganisationLimitCheck.attempt(gateway.port(), ++asked);
        long sentMillis = nowMillis.getAsLong();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + gateway + "/bounded/x"))
                        .header("Authorization", "Bearer bounded")
                        .header("Attempt-Id", attempt)
                        .timeout(TIMEOUT)
                        .build();
        return client.sendAsync(request, BodyHandlers.discarding())
                .whenComplete(
                        (answer, failure) -> {
                            if (isUnanswered(failure) && calm.isCalmSince(gateway, sentMillis)) {
                                violations.add(attempt + ": not answered in " + TIMEOUT);
                            }
                        });
    }

    private static boolean isUnanswered(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpTimeoutException
                && !(cause instanceof HttpConnectTimeoutException);
    }
}
