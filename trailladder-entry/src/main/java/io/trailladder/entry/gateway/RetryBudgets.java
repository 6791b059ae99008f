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

import io.trailladder.core.limit.WindowedRetryBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * The retry budget of each service.
 *
 * @since 0.2
 */
public final class RetryBudgets {
    /** Interval between log lines of the budgets' use, in milliseconds. */
    static final long LOG_INTERVAL_MILLIS = 1_000;

    private final GatewaySettings.Retries settings;
    private final IntSupplier processes;
    private final long startedMillis;
    private final long settledMillis;
    private final Map<String, ServiceBudget> byService = new HashMap<>();
    private long flushedMillis;

    /** The budget of one service, and its use since the last log line. */
    private static final class ServiceBudget {
        private final WindowedRetryBudget budget;
        private RetryUse.Counts counts = new RetryUse.Counts();

        ServiceBudget(WindowedRetryBudget budget) {
            this.budget = budget;
        }
    }

    /**
     * Creates unused budgets.
     *
     * @param settings the bounds of retries over all processes
     * @param processes supplies the number of processes that share the budgets; 0 if it is not
     *     known
     * @param startedMillis when this process started, in milliseconds
     * @param firstStart true if no retries were made before, by an earlier incarnation
     */
    public RetryBudgets(
            GatewaySettings.Retries settings,
            IntSupplier processes,
            long startedMillis,
            boolean firstStart) {
        this.settings = settings;
        this.processes = processes;
        this.startedMillis = startedMillis;
        this.settledMillis = startedMillis + (firstStart ? 0 : settings.windowMillis());
        this.flushedMillis = startedMillis;
    }

    /**
     * Records a request for a service.
     *
     * @param service the service
     * @param nowMillis the current time, in milliseconds
     */
    public void requested(String service, long nowMillis) {
        ServiceBudget own = budget(service);
        own.budget.requested(nowMillis);
        own.counts.requested();
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param service the service
     * @param nowMillis the current time, in milliseconds
     * @return true if the retry may be made
     */
    public boolean tryRetry(String service, long nowMillis) {
        ServiceBudget own = budget(service);
        boolean allowed = own.budget.tryRetry(processes.getAsInt(), nowMillis);
        own.counts.asked(allowed);
        return allowed;
    }

    /**
     * Counts a retry at the time at which it is sent.
     *
     * @param service the service
     * @param takenMillis when {@link #tryRetry} allowed it, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    void sentLater(String service, long takenMillis, long nowMillis) {
        budget(service).budget.sentLater(takenMillis, nowMillis);
    }

    /**
     * Gives back a retry that is not made.
     *
     * @param service the service
     * @param takenMillis when {@link #tryRetry} allowed it, in milliseconds
     */
    void giveBack(String service, long takenMillis) {
        budget(service).budget.giveBack(takenMillis);
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param service the service
     * @param again true if it was sent to one before
     */
    void sent(String service, boolean again) {
        budget(service).counts.sent(again);
    }

    /**
     * Writes a log line for each service whose requests asked for retries since the previous call.
     *
     * @param nowMillis the current time, in milliseconds
     */
    void flush(long nowMillis) {
        int sharing = processes.getAsInt();
        byService.forEach(
                (service, own) -> {
                    if (own.counts.isUnusual()) {
                        DecisionLog.write(
                                new RetryUse(
                                        service,
                                        nowMillis - flushedMillis,
                                        own.counts,
                                        own.budget.left(sharing, nowMillis),
                                        sharing,
                                        nowMillis - startedMillis));
                    }
                    own.counts = new RetryUse.Counts();
                });
        flushedMillis = nowMillis;
    }

    private ServiceBudget budget(String service) {
        return byService.computeIfAbsent(
                service,
                name ->
                        new ServiceBudget(
                                new WindowedRetryBudget(
                                        settings.ratio(),
                                        settings.allowance(),
                                        settings.windowMillis(),
                                        settledMillis)));
    }
}
