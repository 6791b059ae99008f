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
package io.trailladder.core.request;

import io.trailladder.core.limit.RetryBudget;
import io.trailladder.core.request.Failure.Kind;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a call of a plain service may be sent again after it failed.
 *
 * <p>A call of which no byte left may always go to another upstream. One that may have run is sent
 * again only if it is repeatable and the retry budget allows.
 *
 * @since 0.1
 */
public final class CallMachine {
    private static final int MAX_ATTEMPTS = 4;

    private final boolean repeatable;
    private final RetryBudget budget;
    private final Set<String> failedUpstreams = new HashSet<>();
    private boolean mayHaveRun;
    private int attempts;

    /**
     * Creates the machine of one call.
     *
     * @param repeatable false if the call must run at most once
     * @param budget its organisation's retry budget
     */
    public CallMachine(boolean repeatable, RetryBudget budget) {
        this.repeatable = repeatable;
        this.budget = budget;
    }

    /**
     * Returns the upstreams that must not be chosen.
     *
     * @return those that failed this call
     */
    public Set<String> excluded() {
        return Set.copyOf(failedUpstreams);
    }

    /**
     * Is told that an attempt failed.
     *
     * @param upstream the upstream's name
     * @param sent true if any byte may have reached the upstream
     * @param kind why it failed
     * @return the final answer, or empty if the call is to be sent to another upstream
     */
    public Optional<Failure> attemptFailed(String upstream, boolean sent, Kind kind) {
        attempts++;
        failedUpstreams.add(upstream);
        mayHaveRun |= sent;
        boolean allowed = !sent || (repeatable && budget.tryRetry());
        if (allowed && attempts < MAX_ATTEMPTS) {
            return Optional.empty();
        }
        return Optional.of(failure(kind, 1000));
    }

    /**
     * Returns the final answer if no upstream can take the call.
     *
     * @param retryAfterMillis when asking again may help, in milliseconds
     * @return the final answer
     */
    public Failure notPlaced(long retryAfterMillis) {
        return failure(Kind.NO_CAPACITY, retryAfterMillis);
    }

    /** Records a whole answer. */
    public void succeeded() {
        budget.succeeded();
    }

    private Failure failure(Kind kind, long retryAfterMillis) {
        Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return new Failure(outcome, kind, retryAfterMillis);
    }
}
