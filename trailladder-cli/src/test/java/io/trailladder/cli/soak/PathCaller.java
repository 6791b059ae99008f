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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Makes one kind of request at one gateway until it is told to end.
 *
 * @param caller makes the requests
 * @param target the gateway
 * @param kind the kind of the requests
 * @param pauseMillis pause between two requests, in milliseconds
 * @param tally receives what became of them
 * @param going false when the caller must end
 * @param counting tells whether tries that begin now count
 */
record PathCaller(
        SoakCaller caller,
        HostPort target,
        Kind kind,
        long pauseMillis,
        Tally tally,
        AtomicBoolean going,
        BooleanSupplier counting)
        implements Runnable {
    /** Longest time of a plain call at a gateway that has warmed up, in milliseconds. */
    private static final long FAST_MILLIS = 100;

    /** What a request asks for. */
    enum Kind {
        STREAM,
        UNSAFE,
        SAFE
    }

    @Override
    public void run() {
        while (going.get()) {
            callOnce();
            try {
                Thread.sleep(pauseMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void callOnce() {
        boolean counts = counting.getAsBoolean();
        long startNanos = System.nanoTime();
        boolean served =
                switch (kind) {
                    case STREAM -> caller.stream(target);
                    case UNSAFE -> caller.call(target, "/unsafe/", true);
                    case SAFE -> caller.call(target, "/safe/", false);
                };
        long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
        if (kind != Kind.STREAM) {
            tally.called(served && tookMillis <= FAST_MILLIS);
        }
        if (counts && served) {
            tally.served();
        } else if (counts) {
            int status = caller.lastAnswer().status();
            tally.failed(kind + " " + status + " after " + tookMillis + " ms");
        }
    }
}
