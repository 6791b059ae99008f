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

import io.trailladder.core.rollout.AnswerSeen;
import io.trailladder.core.rollout.ExposureLedger;
import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutNews;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.Belief;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreItem;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * The roll-outs that this process knows of: orders and records as the store tells them, or a peer
 * does.
 */
final class RolloutKeeper {
    private final PlatformFormat format;
    private final VersionGate gate;
    private final GatewaySettings.Rollouts bounds;
    private final boolean firstStart;
    private final IntSupplier processes;
    private final LongSupplier nowMillis;
    private final Map<String, RolloutStatus> records = new HashMap<>();

    /**
     * Creates a keeper that knows of none.
     *
     * @param format how orders and records are written
     * @param gate decides by them which upstreams are chosen
     * @param bounds what a version under test may get
     * @param firstStart false if this process may have run before
     * @param processes tells how many processes there are
     * @param nowMillis tells the time
     */
    RolloutKeeper(
            PlatformFormat format,
            VersionGate gate,
            GatewaySettings.Rollouts bounds,
            boolean firstStart,
            IntSupplier processes,
            LongSupplier nowMillis) {
        this.format = format;
        this.gate = gate;
        this.bounds = bounds;
        this.firstStart = firstStart;
        this.processes = processes;
        this.nowMillis = nowMillis;
    }

    /** Returns who is to be told of the orders in the store. */
    StoreWatcher.Listener orders() {
        return new Orders();
    }

    /** Returns who is to be told of the records in the store. */
    StoreWatcher.Listener records() {
        return new Records();
    }

    /** Returns all roll-outs, ended ones too. */
    List<Rollout> rollouts() {
        return List.copyOf(gate.rollouts());
    }

    /** Tells whether traffic of a service is being moved now. */
    boolean isMoving(String service) {
        return gate.rollout(service).filter(rollout -> !rollout.phase().isFinal()).isPresent();
    }

    /** Tells whether traffic of any service is being moved now. */
    boolean isAnyMoving() {
        return gate.rollouts().stream().anyMatch(rollout -> !rollout.phase().isFinal());
    }

    /** Returns the record of a service's roll-out. */
    RolloutStatus record(String service) {
        return records.getOrDefault(service, RolloutStatus.none(service));
    }

    /** Takes over a record that was read or written. */
    void recorded(RolloutStatus status) {
        RolloutStatus before = record(status.service());
        if (status.revision() < before.revision()) {
            return;
        }
        records.put(status.service(), status);
        if (before.state() != status.state() || before.revision() == 0) {
            DecisionLog.write(
                    new Belief(
                            "roll-out of " + status.service() + " to " + status.version(),
                            status.state().name(),
                            "store",
                            status.revision()));
        }
        gate.rollout(status.service())
                .ifPresent(rollout -> rollout.recorded(status, nowMillis.getAsLong()));
    }

    /** Records a request that is sent to an upstream. */
    void sent(String service, Upstream upstream) {
        gate.rollout(service).ifPresent(rollout -> rollout.sent(upstream));
    }

    /** Records how a request ended at an upstream. */
    void answered(String service, Upstream upstream, AnswerSeen answer) {
        gate.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal())
                .ifPresent(rollout -> rollout.answered(upstream, answer));
    }

    /** Takes over what a peer tells, if its order is as new as the one known here. */
    void heard(RolloutNews news) {
        ordered(news.order(), "peer");
        gate.rollout(news.order().service())
                .filter(rollout -> rollout.order().revision() == news.order().revision())
                .ifPresent(rollout -> rollout.heard(news, nowMillis.getAsLong()));
    }

    private void ordered(RolloutOrder order, String source) {
        Optional<Rollout> known = gate.rollout(order.service());
        if (known.isPresent() && known.get().order().revision() >= order.revision()) {
            return;
        }
        double allowance = firstStart ? bounds.allowance() : 0;
        ExposureLedger ledger = new ExposureLedger(bounds.share(), allowance, processes.getAsInt());
        Rollout rollout = new Rollout(order, ledger, nowMillis.getAsLong());
        gate.begin(rollout);
        rollout.recorded(record(order.service()), nowMillis.getAsLong());
        DecisionLog.write(
                new Belief(
                        "roll-out of " + order.service(),
                        "to " + order.version() + " within " + order.durationMillis() + " ms",
                        source,
                        order.revision()));
    }

    private void withdrawn(String service) {
        gate.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal())
                .ifPresent(
                        rollout -> {
                            rollout.withdrawn(nowMillis.getAsLong());
                            DecisionLog.write(
                                    new Lifecycle(
                                            "roll-out of " + service, "withdrawn", "order gone"));
                        });
    }

    /** Reads what the store tells; one line tells of what cannot be read. */
    private static <T> Optional<T> sound(Either<String, T> read) {
        if (read.isLeft()) {
            Logger.warn("roll-out left as it is: {}", read.getLeft());
        }
        return read.toJavaOptional();
    }

    private static String serviceOf(String key, String prefix) {
        return key.substring(prefix.length());
    }

    /** Takes the operators' orders. */
    private final class Orders implements StoreWatcher.Listener {
        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(StoreItem item) {
            String service = serviceOf(item.key(), format.rolloutOrderPrefix());
            if (item.gone()) {
                withdrawn(service);
                return;
            }
            sound(format.rolloutOrder(service, item.value(), item.revision()))
                    .ifPresent(order -> ordered(order, "store"));
        }
    }

    /** Takes the records of results. */
    private final class Records implements StoreWatcher.Listener {
        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(StoreItem item) {
            String service = serviceOf(item.key(), format.rolloutStatusPrefix());
            if (!item.gone()) {
                sound(format.rolloutStatus(service, item.value(), item.revision()))
                        .ifPresent(RolloutKeeper.this::recorded);
            }
        }
    }
}
