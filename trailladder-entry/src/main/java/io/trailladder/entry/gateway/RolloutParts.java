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
 * The parts of a process that follow roll-outs and lead them, wired together. Where operators order
 * none, nothing of it runs and no call is made.
 */
final class RolloutParts {
    private final boolean enabled;
    private final RolloutManager manager;
    private final RolloutRunner runner;
    private final StoreWatcher records;
    private final StoreWatcher orders;

    /**
     * Wires the parts; nothing runs yet.
     *
     * @param loop the loop whose thread runs them
     * @param store the platform's store
     * @param health told of answers and failures
     * @param random spreads repeated calls
     * @param format how orders and records are written
     * @param settings the process's settings
     * @param gate decides which versions are chosen
     * @param directory the upstreams known
     * @param loads the work under way at them
     * @param view the peers
     * @param leads tells whether this process leads
     * @param metrics the process's figures
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
        orders = watcher(loop, store, health, random, format.rolloutOrderPrefix(), manager.orders());
        if (enabled) {
            view.rollouts(exchange);
            // the old version stops with the record: whoever hears it late sends to nobody
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

    /** Returns the roll-outs known. */
    RolloutManager manager() {
        return manager;
    }

    /** Begins to follow and to lead. */
    void start() {
        if (enabled) {
            // records first: an order whose result is known is not begun anew
            records.restart();
            orders.restart();
            runner.start();
        }
    }

    /** Tells whether it is known if there are any: the store was read once, or need not be. */
    boolean isKnown() {
        return !enabled || (records.isComplete() && orders.isComplete());
    }

    /**
     * Follows the store or leaves it.
     *
     * @param fed true while a hub tells this process in time
     */
    void follow(boolean fed) {
        if (!enabled) {
            return;
        }
        follow(orders, !fed);
        // nobody else writes records, so they are followed only while there are some to come
        follow(records, !fed && manager.isAnyMoving());
    }

    private static void follow(StoreWatcher watcher, boolean wanted) {
        if (!wanted && watcher.isRunning() && watcher.isComplete()) {
            watcher.stop();
        } else if (wanted && !watcher.isRunning()) {
            watcher.restart();
        }
    }
}
