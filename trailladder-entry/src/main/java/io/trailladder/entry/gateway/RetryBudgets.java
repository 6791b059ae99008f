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
 * The budget of second attempts of each service.
 *
 * @since 0.2
 */
public final class RetryBudgets {
    private final GatewaySettings.Retries settings;
    private final IntSupplier processes;
    private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

    /**
     * Creates unused budgets.
     *
     * @param settings the bounds over all processes
     * @param entries tells how many processes share them
     */
    public RetryBudgets(GatewaySettings.Retries settings, IntSupplier entries) {
        this.settings = settings;
        this.processes = entries;
    }

    /**
     * Records a request for a service.
     *
     * @param service the service
     * @param nowMillis the time
     */
    public void requested(String service, long nowMillis) {
        budget(service).requested(nowMillis);
    }

    /**
     * Takes one second attempt if there is one left.
     *
     * @param service the service
     * @param nowMillis the time
     * @return true if it may be made
     */
    public boolean tryRetry(String service, long nowMillis) {
        return budget(service).tryRetry(processes.getAsInt(), nowMillis);
    }

    private WindowedRetryBudget budget(String service) {
        return byService.computeIfAbsent(
                service,
                name ->
                        new WindowedRetryBudget(
                                settings.ratio(), settings.allowance(), settings.windowMillis()));
    }
}
