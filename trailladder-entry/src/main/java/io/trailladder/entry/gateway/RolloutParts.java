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

import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.PlatformFormat;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Creates and connects the parts of a process that follow and lead roll-outs. If operators order no
 * roll-outs, as the settings say, none of the parts runs and no call is made.
 */
final class RolloutParts {
    private final boolean enabled;
    private final RolloutManager manager;
    private final RolloutRunner runner;
    private final StoreWatcher records;
    private final StoreWatcher orders;

    /**
     * Creates the parts; none runs before {@link #start}.
     *
     * @param loop the event loop that runs them
     * @param store the platform's store
     * @param health notified of answers and failures
     * @param random spreads repeated calls over time
     * @param format encodes and decodes orders and records
     * @param settings the process's settings
     * @param gate decides which versions are chosen
     * @param directory the known upstreams
     * @param loads the requests under way at the upstreams
     * @param view the peers
     * @param leads whether this process leads
     * @param metrics the process's metrics
     */
    RolloutParts(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            SplittableRandom random,
            PlatformFormat format,
            GatewaySettings settings,
            VersionGate gate,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            ClusterView view,
            BooleanSupplier leads,
            GatewayMetrics metrics) {
        enabled = settings.rollouts().ordered();
        manager =
                new RolloutManager(
                        format,
                        gate,
                        settings.rollouts(),
                        random.split(),
                        loop::nowMillis,
                        metrics);
        health.history().onReplaced(manager::historyReplaced);
        RolloutExchange exchange = new RolloutExchange(manager, loop::nowMillis);
        runner =
                new RolloutRunner(
                        loop,
                        store,
                        health,
                        format,
                        manager,
                        directory,
                        loads,
                        leads,
                        rollout -> exchange.evidence(rollout, view.countedPeers()));
        records =
                watcher(
                        loop,
                        store,
                        health,
                        random,
                        format.rolloutStatusPrefix(),
                        manager.records());
        orders =
                watcher(loop, store, health, random, format.rolloutOrderPrefix(), manager.orders());
        if (enabled) {
            view.rollouts(exchange);
            // the old version stops with the record: a process that is notified late has no
            // upstream to
            // send to
            manager.onAdvance(view::sendRolloutReports);
        }
    }

    private static StoreWatcher watcher(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            SplittableRandom random,
            String prefix,
            StoreWatcher.Listener listener) {
        return new StoreWatcher(loop, store, health, random.split(), prefix, 0, listener);
    }

    /** Returns the manager of the known roll-outs. */
    RolloutManager manager() {
        return manager;
    }

    /** Starts to follow and to lead roll-outs. */
    void start() {
        if (enabled) {
            // records first, so that an order whose result is known is not started again
            records.restart();
            orders.restart();
            runner.start();
        }
    }

    /** Returns whether the roll-outs are known: the store was read once, or need not be read. */
    boolean isKnown() {
        return !enabled || (records.isComplete() && orders.isComplete());
    }

    /**
     * Starts or stops following the store, as needed.
     *
     * @param fedByHub true while a hub keeps this process up to date
     */
    void follow(boolean fedByHub) {
        if (!enabled) {
            return;
        }
        follow(orders, !fedByHub);
        // only leaders write records, so they are followed only while some are expected
        follow(records, !fedByHub && manager.isAnyMoving());
    }

    private static void follow(StoreWatcher watcher, boolean wanted) {
        if (!wanted && watcher.isRunning() && watcher.isComplete()) {
            watcher.stop();
        } else if (wanted && !watcher.isRunning()) {
            watcher.restart();
        }
    }
}
