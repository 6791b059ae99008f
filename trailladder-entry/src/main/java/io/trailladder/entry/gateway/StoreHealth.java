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

import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.StoreFailure;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks whether the store answers this process. All users of the store share this state, so that
 * one user's failure or answer counts for all.
 *
 * @since 0.2
 */
public final class StoreHealth {
    private final GatewayMetrics metrics;
    private final StoreHistory history;
    private final List<Runnable> onRegained = new ArrayList<>();
    private final List<Runnable> onAnswered = new ArrayList<>();
    private boolean reachable = true;

    /**
     * Creates the state of a store that is assumed to answer.
     *
     * @param metrics counts failures, and changes of the store's history
     */
    public StoreHealth(GatewayMetrics metrics) {
        this.metrics = metrics;
        this.history = new StoreHistory(metrics);
    }

    /**
     * Returns the state of the store's history.
     *
     * @return the history
     */
    public StoreHistory history() {
        return history;
    }

    /**
     * Adds a task that runs whenever the store answers again after a failure.
     *
     * @param task the task
     */
    public void onRegained(Runnable task) {
        onRegained.add(task);
    }

    /**
     * Adds a task that runs with every answer of the store.
     *
     * @param task the task
     */
    public void onAnswered(Runnable task) {
        onAnswered.add(task);
    }

    /**
     * Records an answer; runs the tasks of {@link #onRegained} if the store did not answer before.
     */
    public void answered() {
        regained();
        onAnswered.forEach(Runnable::run);
    }

    private void regained() {
        if (!reachable) {
            reachable = true;
            DecisionLog.write(new Lifecycle("store", "regained", ""));
            onRegained.forEach(Runnable::run);
        }
    }

    /**
     * Records a failed call. A conflict, an ended lease and a lost history count as answers.
     *
     * @param failure the failure
     */
    public void failed(StoreFailure failure) {
        boolean answer =
                failure == StoreFailure.CONFLICT
                        || failure == StoreFailure.LEASE_GONE
                        || failure == StoreFailure.HISTORY_LOST;
        if (answer) {
            regained();
            return;
        }
        metrics.count(GatewayMetrics.Event.STORE_FAILURE);
        if (reachable) {
            reachable = false;
            DecisionLog.write(new Lifecycle("store", "lost", failure.name()));
        }
    }

    /**
     * Returns whether the last call was answered.
     *
     * @return true if it was
     */
    public boolean isReachable() {
        return reachable;
    }
}
