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

import java.util.function.LongConsumer;

/** Passes on how a request for units ends as a number of milliseconds. */
record DecidedOutcome(LongConsumer retryAfterMillis) implements Quotas.Outcome {
    /** Passed on if the limit was taken away. */
    static final long WITHDRAWN = -1;

    @Override
    public void admitted() {
        retryAfterMillis.accept(0);
    }

    @Override
    public void refused(long millis) {
        retryAfterMillis.accept(millis);
    }

    @Override
    public void withdrawn() {
        retryAfterMillis.accept(WITHDRAWN);
    }
}
