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
package io.trailladder.core.limit;

/**
 * Lets an organisation's requests be retried only as often as a share of its successes, so that
 * retries never amplify a wave of failures. Safe for several threads.
 *
 * @since 0.1
 */
public final class RetryBudget {
    /** Retries earned by one success. */
    public static final double RETRIES_PER_SUCCESS = 0.15;

    private static final double MAX_BALANCE = 20;

    private double balance = MAX_BALANCE;

    /** Records a request that succeeded. */
    public synchronized void succeeded() {
        balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_SUCCESS);
    }

    /**
     * Takes one retry if the budget has one.
     *
     * @return true if the retry may be made
     */
    public synchronized boolean tryRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
