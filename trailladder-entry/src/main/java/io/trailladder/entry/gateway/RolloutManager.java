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

import io.trailladder.core.rollout.AnswerObservation;
import io.trailladder.core.rollout.AnswerRating;
import io.trailladder.core.rollout.ExposureLedger;
import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutPhase;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.Belief;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreItem;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * The roll-outs that this process knows of: orders and records as the store tells them, or a peer
 * does.
 */
final class RolloutManager {
    private final PlatformFormat format;
    private final VersionGate gate;
    private final GatewaySettings.Rollouts bounds;
    private final SplittableRandom random;
    private final LongSupplier nowMillis;
    private final GatewayMetrics metrics;
    private Runnable onAdvance = () -> {};
    private final Map<String, RolloutStatus> records = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    private final RolloutRecovery recovery = new RolloutRecovery();

    /**
     * Creates a keeper that knows of none.
     *
     * @param format how orders and records are written
     * @param gate decides by them which upstreams are chosen
     * @param bounds what a version under test may get
     * @param random spreads the samples of processes that have few requests
     * @param nowMillis tells the time
     * @param metrics told of answers while traffic moves
     */
    RolloutManager(
            PlatformFormat format,
            VersionGate gate,
            GatewaySettings.Rollouts bounds,
            SplittableRandom random,
            LongSupplier nowMillis,
            GatewayMetrics metrics) {
        this.format = format;
        this.gate = gate;
        this.bounds = bounds;
        this.random = random;
        this.nowMillis = nowMillis;
        this.metrics = metrics;
    }

    /** Has somebody told when a roll-out has come further. */
    void onAdvance(Runnable told) {
        onAdvance = told;
    }

    /** Goes on as the leader decides. */
    void applyDecision(Rollout rollout, RolloutPhase decided) {
        advance(rollout, () -> rollout.lead(decided, nowMillis.getAsLong()));
    }

    private void advance(Rollout rollout, Runnable change) {
        RolloutPhase before = rollout.phase();
        change.run();
        if (rollout.phase() != before) {
            onAdvance.run();
        }
    }

    /** When an order was written. */
    private enum Written {
        /** Just now, so that its time begins. */
        NOW,
        /** Perhaps long ago. */
        BEFORE
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

    /** Tells whether somebody wrote a record that cannot be read: it is left as it is. */
    boolean isRecordUnreadable(String service) {
        return unreadable.contains(service);
    }

    /**
     * Has orders and records be found again: the store's history was replaced. What is known of
     * them here holds on.
     */
    void historyReplaced() {
        List<RolloutStatus> recorded = new ArrayList<>();
        for (Rollout rollout : gate.rollouts()) {
            RolloutStatus record = record(rollout.order().service());
            if (record.isAbout(rollout.order())) {
                recorded.add(record);
            }
        }
        List<String> services = new ArrayList<>();
        gate.rollouts().forEach(rollout -> services.add(rollout.order().service()));
        recovery.begin(services, recorded, nowMillis.getAsLong());
        records.replaceAll((service, record) -> record.withRevision(0));
    }

    /** Tells whether orders known here were not found yet in the store's new history. */
    boolean awaitsOrders() {
        long now = nowMillis.getAsLong();
        for (String missed : recovery.takeMissing(now)) {
            gate.rollout(missed)
                    .ifPresent(rollout -> rollout.renumbered(rollout.order().withRevision(0)));
        }
        return recovery.awaitsOrders(now);
    }

    /**
     * Returns the record of a roll-out that the store has lost, for the leader to write again. A
     * result that peers told was recorded, whether or not this process has read it.
     */
    Optional<RolloutStatus> lostRecord(Rollout rollout) {
        RolloutOrder order = rollout.order();
        RolloutStatus record = record(order.service());
        Optional<State> result = rollout.phase().result();
        if (result.isEmpty() || !recovery.hasBegun()) {
            return record.isAbout(order) ? Optional.empty() : recovery.record(order.service());
        }
        boolean stands = record.isAbout(order) && record.state() == result.get();
        return stands
                ? Optional.empty()
                : Optional.of(new RolloutStatus(order.service(), order.version(), result.get(), 0));
    }

    /** Returns under which revision a service's record is to be written. */
    long expectedRevision(String service) {
        return recovery.record(service).isPresent()
                ? recovery.storedRevision(service)
                : record(service).revision();
    }

    /**
     * Reads a record.
     *
     * @param certain true if it was written in the store's current history; a list may hold older
     *     ones for a moment
     */
    void read(String service, StoreItem item, boolean certain) {
        Optional<RolloutStatus> status =
                readable(format.rolloutStatus(service, item.value(), item.revision()));
        if (status.isPresent()) {
            unreadable.remove(service);
            recorded(status.get(), certain);
        } else {
            unreadable.add(service);
        }
    }

    /** Takes over a record that was read or written. */
    void recorded(RolloutStatus status, boolean certain) {
        String service = status.service();
        RolloutStatus before = record(service);
        boolean mayBeOlder = recovery.record(service).isPresent() && !certain;
        if (mayBeOlder
                && recovery.isRecovering(nowMillis.getAsLong())
                && !status.equalsIgnoringRevision(before)) {
            recovery.setStoredRevision(service, status.revision());
            return;
        }
        if (status.revision() < before.revision()) {
            return;
        }
        recovery.setStoredRevision(service, status.revision());
        if (certain) {
            recovery.foundRecord(service);
        }
        records.put(service, status);
        if (before.state() != status.state() || before.revision() == 0) {
            DecisionLog.write(
                    new Belief(
                            "roll-out of " + status.service() + " to " + status.version(),
                            status.state().name(),
                            "store",
                            status.revision()));
        }
        long now = nowMillis.getAsLong();
        gate.rollout(status.service())
                .ifPresent(rollout -> advance(rollout, () -> rollout.recorded(status, now)));
    }

    /** Records that an upstream was chosen for a request, before it leaves. */
    void chosen(String service, Upstream upstream) {
        gate.rollout(service).ifPresent(rollout -> rollout.chosen(upstream));
    }

    /** Records that a request leaves for an upstream. */
    void sent(String service) {
        gate.rollout(service).ifPresent(Rollout::sent);
    }

    /** Returns how long requests wait that no version may get now, in milliseconds. */
    long heldMillis(String service) {
        return gate.rollout(service)
                .map(rollout -> rollout.waitMillis(nowMillis.getAsLong()))
                .orElse(0L);
    }

    /** Records how a request ended at an upstream. */
    void answered(String service, Upstream upstream, AnswerObservation answer) {
        gate.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal())
                .ifPresent(rollout -> advance(rollout, () -> count(rollout, upstream, answer)));
    }

    private void count(Rollout rollout, Upstream upstream, AnswerObservation answer) {
        AnswerRating sort = rollout.answered(upstream, answer);
        metrics.versionAnswered(rollout.order().service(), upstream.version(), sort);
    }

    /**
     * Takes over what a peer tells, if its order is as new as the one known here.
     *
     * @param sameHistory false if the peer does not say which history of the store its order's
     *     revision is of, though this process knows that there are several
     */
    void receive(RolloutUpdate news, boolean sameHistory) {
        RolloutOrder order = news.order();
        Optional<Rollout> known = gate.rollout(order.service());
        boolean alike =
                known.filter(rollout -> rollout.order().equalsIgnoringRevision(order)).isPresent();
        boolean numbered = sameHistory || !alike || !recovery.hasBegun();
        if (numbered) {
            startIfNew(order, "peer", Written.BEFORE, sameHistory);
        }
        gate.rollout(order.service())
                .filter(rollout -> !numbered || rollout.order().revision() == order.revision())
                .ifPresent(
                        rollout ->
                                advance(
                                        rollout,
                                        () -> rollout.received(news, nowMillis.getAsLong())));
    }

    /**
     * Begins to follow an order.
     *
     * @param written {@code BEFORE}: a peer has to tell how much of its time is left
     * @param certain true if it was written in the store's current history, or found there by a
     *     peer; a list may hold older ones for a moment
     */
    private void startIfNew(RolloutOrder order, String source, Written written, boolean certain) {
        Optional<Rollout> known = gate.rollout(order.service());
        if (known.isPresent() && isKnown(known.get(), order, certain)) {
            return;
        }
        known.ifPresent(before -> recovery.replaced(before.order()));
        recovery.foundOrder(order.service());
        recovery.foundRecord(order.service());
        boolean fresh = written == Written.NOW;
        ExposureLedger ledger = ExposureLedger.of(bounds.share(), bounds.allowance(), random);
        long now = nowMillis.getAsLong();
        Rollout rollout =
                fresh ? new Rollout(order, ledger, now) : Rollout.ofUnknownAge(order, ledger, now);
        gate.begin(rollout);
        rollout.recorded(record(order.service()), nowMillis.getAsLong());
        DecisionLog.write(
                new Belief(
                        "roll-out of " + order.service(),
                        "to "
                                + order.version()
                                + " within "
                                + order.durationMillis()
                                + " ms, "
                                + (fresh ? "just written" : "of an age not known here"),
                        source,
                        order.revision()));
    }

    private boolean isKnown(Rollout known, RolloutOrder order, boolean certain) {
        long now = nowMillis.getAsLong();
        String service = order.service();
        if (recovery.isRecovering(now) && known.order().equalsIgnoringRevision(order)) {
            known.renumbered(order);
            recovery.foundOrder(service);
            return true;
        }
        return recovery.awaitsOrder(service, now)
                ? !certain && recovery.isEarlier(order)
                : known.order().revision() >= order.revision();
    }

    private void withdraw(String service) {
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
    private static <T> Optional<T> readable(Either<String, T> read) {
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
        private boolean followed;

        /** What lies in the store when this process starts may have lain there for long. */
        @Override
        public void listed(List<StoreItem> items, long revision) {
            Written written = followed ? Written.NOW : Written.BEFORE;
            items.forEach(item -> read(item, written, false));
            followed = true;
        }

        @Override
        public void changed(StoreItem item) {
            read(item, Written.NOW, true);
        }

        private void read(StoreItem item, Written written, boolean certain) {
            String service = serviceOf(item.key(), format.rolloutOrderPrefix());
            if (item.removed()) {
                withdraw(service);
                return;
            }
            readable(format.rolloutOrder(service, item.value(), item.revision()))
                    .ifPresent(order -> startIfNew(order, "store", written, certain));
        }
    }

    /** Takes the records of results. */
    private final class Records implements StoreWatcher.Listener {
        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(item -> apply(item, false));
        }

        @Override
        public void changed(StoreItem item) {
            apply(item, true);
        }

        private void apply(StoreItem item, boolean certain) {
            String service = serviceOf(item.key(), format.rolloutStatusPrefix());
            if (!item.removed()) {
                read(service, item, certain);
            }
        }
    }
}
