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
import java.util.stream.Collectors;

/**
 * Maintains the roll-outs that this process knows, from orders and records in the store and from
 * reports of peers.
 */
final class RolloutManager {
    /** Maximum length of an order or a record, in bytes. */
    private static final int MAX_VALUE_BYTES = 4_096;

    private final PlatformFormat format;
    private final VersionGate gate;
    private final GatewaySettings.Rollouts bounds;
    private final SplittableRandom random;
    private final LongSupplier nowMillis;
    private final GatewayMetrics metrics;
    private Runnable onAdvance = () -> {};
    private final Map<String, RolloutStatus> records = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    private final UnusableEntries unusableOrders = new UnusableEntries("roll-out order");
    private final UnusableEntries unusableRecords = new UnusableEntries("roll-out record");
    private final RolloutRecovery recovery = new RolloutRecovery();

    /**
     * Creates a manager without roll-outs.
     *
     * @param format decodes orders and records
     * @param gate holds the roll-outs and decides by them which upstreams are chosen
     * @param bounds bounds of the requests that a version under test may get
     * @param random spreads the samples of processes that have few requests
     * @param nowMillis supplies the time, in milliseconds
     * @param metrics counts answers while traffic is moved
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

    /** Sets the task that runs whenever a roll-out has changed its phase. */
    void onAdvance(Runnable task) {
        onAdvance = task;
    }

    /** Applies the leader's decision. */
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
        /** Just now: its time begins. */
        NOW,
        /** Possibly long ago. */
        BEFORE
    }

    /** Returns the listener for orders in the store. */
    StoreWatcher.Listener orders() {
        return new Orders();
    }

    /** Returns the listener for records in the store. */
    StoreWatcher.Listener records() {
        return new Records();
    }

    /** Returns all roll-outs, including ended ones. */
    List<Rollout> rollouts() {
        return List.copyOf(gate.rollouts());
    }

    /** Returns whether traffic of a service is being moved. */
    boolean isMoving(String service) {
        return gate.rollout(service).filter(rollout -> !rollout.phase().isFinal()).isPresent();
    }

    /** Returns whether traffic of any service is being moved. */
    boolean isAnyMoving() {
        return gate.rollouts().stream().anyMatch(rollout -> !rollout.phase().isFinal());
    }

    /** Returns the record of a service's roll-out. */
    RolloutStatus record(String service) {
        return records.getOrDefault(service, RolloutStatus.none(service));
    }

    /**
     * Returns whether a service's record cannot be decoded; the leader then leaves the roll-out as
     * it is.
     */
    boolean isRecordUnreadable(String service) {
        return unreadable.contains(service);
    }

    /**
     * Begins to look for orders and records in the store's new history. Until they are found, those
     * that are known stay in force.
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

    /**
     * Returns whether known orders may still be found in the store's new history. Orders that were
     * not found in time get revision 0.
     */
    boolean awaitsOrders() {
        long now = nowMillis.getAsLong();
        for (String service : recovery.takeMissing(now)) {
            gate.rollout(service)
                    .ifPresent(rollout -> rollout.renumbered(rollout.order().withRevision(0)));
        }
        return recovery.awaitsOrders(now);
    }

    /**
     * Returns the record of a roll-out that the store has lost and that the leader must write
     * again. A result that peers reported was recorded, even if this process has not read the
     * record.
     */
    Optional<RolloutStatus> lostRecord(Rollout rollout) {
        RolloutOrder order = rollout.order();
        RolloutStatus record = record(order.service());
        Optional<State> result = rollout.phase().result();
        if (result.isEmpty() || !recovery.hasBegun()) {
            return record.isAbout(order) ? Optional.empty() : recovery.record(order.service());
        }
        boolean stored = record.isAbout(order) && record.state() == result.get();
        return stored
                ? Optional.empty()
                : Optional.of(new RolloutStatus(order.service(), order.version(), result.get(), 0));
    }

    /** Returns the revision that a write of a service's record must expect. */
    long expectedRevision(String service) {
        return recovery.record(service).isPresent()
                ? recovery.storedRevision(service)
                : record(service).revision();
    }

    /**
     * Decodes and applies a record.
     *
     * @param certain true if it was written in the store's current history; a list may contain
     *     older records for a short time
     */
    void read(String service, StoreItem item, boolean certain) {
        Optional<RolloutStatus> status =
                readable(
                        unusableRecords,
                        item,
                        format.rolloutStatus(service, item.value(), item.revision()));
        if (status.isPresent()) {
            unreadable.remove(service);
            recorded(status.get(), certain);
        } else {
            unreadable.add(service);
        }
    }

    /** Applies a record that was read or written. */
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

    /** Records that an upstream was chosen for a request, before the request is sent. */
    void chosen(String service, Upstream upstream) {
        gate.rollout(service).ifPresent(rollout -> rollout.chosen(upstream));
    }

    /** Records that a request is sent to an upstream. */
    void sent(String service) {
        gate.rollout(service).ifPresent(Rollout::sent);
    }

    /** Returns how long requests must wait that no version may currently get, in milliseconds. */
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
        AnswerRating sort = rollout.answered(upstream, answer, nowMillis.getAsLong());
        metrics.versionAnswered(rollout.order().service(), upstream.version(), sort);
    }

    /**
     * Applies a peer's report if its order is as new as the known one.
     *
     * @param sameHistory false if the peer does not name the history of the store to which its
     *     order's revision belongs, though this process knows that there are several
     */
    void receive(RolloutUpdate update, boolean sameHistory) {
        RolloutOrder order = update.order();
        Optional<Rollout> known = gate.rollout(order.service());
        boolean alike =
                known.filter(rollout -> rollout.order().equalsIgnoringRevision(order)).isPresent();
        boolean revisionComparable = sameHistory || !alike || !recovery.hasBegun();
        if (revisionComparable) {
            startIfNew(order, "peer", Written.BEFORE, sameHistory);
        }
        gate.rollout(order.service())
                .filter(
                        rollout ->
                                !revisionComparable
                                        || rollout.order().revision() == order.revision())
                .ifPresent(
                        rollout ->
                                advance(
                                        rollout,
                                        () -> rollout.received(update, nowMillis.getAsLong())));
    }

    /**
     * Starts the roll-out of an order, unless it is known.
     *
     * @param written {@code BEFORE} if the time that is left must be learned from a peer
     * @param certain true if it was written in the store's current history, or found there by a
     *     peer; a list may contain older orders for a short time
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
                                + (fresh ? "just written" : "of unknown age"),
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
                                            "roll-out of " + service,
                                            "withdrawn",
                                            "order removed"));
                        });
    }

    /** Returns the decoded value; logs a warning and returns empty if it could not be decoded. */
    private <T> Optional<T> readable(
            UnusableEntries unusable, StoreItem item, Either<String, T> decoded) {
        if (decoded.isLeft()) {
            unusable.add(item.key(), item.revision(), decoded.getLeft(), nowMillis.getAsLong());
        } else {
            unusable.remove(item.key());
        }
        return decoded.toJavaOptional();
    }

    private static Set<String> keys(List<StoreItem> items) {
        return items.stream().map(StoreItem::key).collect(Collectors.toSet());
    }

    private static String serviceOf(String key, String prefix) {
        return key.substring(prefix.length());
    }

    /** Receives the operators' orders. */
    private final class Orders implements StoreWatcher.Listener {
        private boolean followed;

        @Override
        public boolean follows(String key) {
            return key.length() > format.rolloutOrderPrefix().length();
        }

        @Override
        public int maxValueBytes() {
            return MAX_VALUE_BYTES;
        }

        /**
         * Orders that are in the store when this process starts may have been written long before.
         */
        @Override
        public void listed(List<StoreItem> items, long revision) {
            unusableOrders.retain(keys(items));
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
                unusableOrders.remove(item.key());
                withdraw(service);
                return;
            }
            readable(
                            unusableOrders,
                            item,
                            format.rolloutOrder(service, item.value(), item.revision()))
                    .ifPresent(order -> startIfNew(order, "store", written, certain));
        }
    }

    /** Receives the records of results. */
    private final class Records implements StoreWatcher.Listener {
        @Override
        public boolean follows(String key) {
            return key.length() > format.rolloutStatusPrefix().length();
        }

        @Override
        public int maxValueBytes() {
            return MAX_VALUE_BYTES;
        }

        @Override
        public void listed(List<StoreItem> items, long revision) {
            unusableRecords.retain(keys(items));
            items.forEach(item -> apply(item, false));
        }

        @Override
        public void changed(StoreItem item) {
            apply(item, true);
        }

        private void apply(StoreItem item, boolean certain) {
            String service = serviceOf(item.key(), format.rolloutStatusPrefix());
            if (item.removed()) {
                unusableRecords.remove(item.key());
                unreadable.remove(service);
            } else {
                read(service, item, certain);
            }
        }
    }
}
