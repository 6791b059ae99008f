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

import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutController;
import io.trailladder.core.rollout.RolloutController.Fleet;
import io.trailladder.core.rollout.RolloutController.Step;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.RouteEvidence;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Leads the roll-outs while this process is the leader: decides the next phase of each and records
 * its state in the store, with a conditional write that fails if another process has written.
 */
final class RolloutRunner {
    private static final long STEP_INTERVAL_MILLIS = 100;

    /** Time between log lines about the status of a roll-out, in milliseconds. */
    private static final long STATUS_LOG_INTERVAL_MILLIS = 1_000;

    /**
     * Delay before the read after a failed write, in milliseconds: the store's usual time for
     * several calls.
     */
    private static final long READ_BACK_DELAY_MILLIS = 300;

    private final EventLoop loop;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final PlatformFormat format;
    private final RolloutManager manager;
    private final UpstreamDirectory directory;
    private final UpstreamLoads loads;
    private final BooleanSupplier leads;
    private final Function<Rollout, List<RouteEvidence>> evidence;
    private final Map<Rollout, RolloutController> deciders = new HashMap<>();
    private final Map<String, String> loggedStates = new HashMap<>();
    private final Map<String, Long> statusLoggedMillis = new HashMap<>();
    private final Set<String> writing = new HashSet<>();

    /** Roll-outs whose record was read after their order, while this process leads. */
    private final Set<Rollout> recordsRead = new HashSet<>();

    private final Set<Rollout> recordsAwaited = new HashSet<>();

    /**
     * Creates a runner.
     *
     * @param loop the event loop that runs it
     * @param store the store with the records
     * @param health notified of answers and failures
     * @param format encodes and decodes records
     * @param manager the known roll-outs
     * @param directory the known upstreams
     * @param loads the requests under way at the upstreams
     * @param leads whether this process leads
     * @param evidence returns the evidence of all processes for a roll-out
     */
    RolloutRunner(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            PlatformFormat format,
            RolloutManager manager,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            BooleanSupplier leads,
            Function<Rollout, List<RouteEvidence>> evidence) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.format = format;
        this.manager = manager;
        this.directory = directory;
        this.loads = loads;
        this.leads = leads;
        this.evidence = evidence;
    }

    /** Starts the periodic decisions. */
    void start() {
        loop.repeat(STEP_INTERVAL_MILLIS, this::step);
    }

    private void step() {
        // the evidence of peers is stored by the orders' revisions, which are not yet known
        if (manager.awaitsOrders()) {
            return;
        }
        if (!leads.getAsBoolean()) {
            deciders.clear();
            recordsRead.clear();
            return;
        }
        List<Rollout> rollouts = manager.rollouts();
        deciders.keySet().retainAll(rollouts);
        recordsRead.retainAll(rollouts);
        for (Rollout rollout : rollouts) {
            manager.lostRecord(rollout).ifPresent(this::recordAgain);
            if (!rollout.phase().isFinal()
                    && isRecordRead(rollout)
                    && isKnown(rollout.order().service())) {
                lead(rollout);
            }
        }
    }

    /**
     * Returns whether a roll-out's record was read after its order: a record that was written
     * before the order may be notified after it.
     */
    private boolean isRecordRead(Rollout rollout) {
        if (recordsRead.contains(rollout)) {
            return true;
        }
        if (recordsAwaited.add(rollout)) {
            String service = rollout.order().service();
            store.read(key(service), read -> recordReceived(rollout, service, read));
        }
        return false;
    }

    private void recordReceived(
            Rollout rollout, String service, Either<StoreFailure, StoreItem> read) {
        if (read.isLeft()) {
            health.failed(read.getLeft());
            loop.schedule(READ_BACK_DELAY_MILLIS, () -> recordsAwaited.remove(rollout));
            return;
        }
        recordsAwaited.remove(rollout);
        recordsRead.add(rollout);
        recordRead(service, read.get());
    }

    /**
     * Returns false for a service without upstreams or with an undecodable record: its roll-out
     * waits.
     */
    private boolean isKnown(String service) {
        boolean hasUpstreams =
                directory.all().stream().anyMatch(upstream -> upstream.service().equals(service));
        return hasUpstreams && !manager.isRecordUnreadable(service);
    }

    private void lead(Rollout rollout) {
        RolloutController decider = deciders.computeIfAbsent(rollout, RolloutController::new);
        String service = rollout.order().service();
        RolloutStatus status = manager.record(service);
        List<RouteEvidence> observed = evidence.apply(rollout);
        Step step = decider.next(observed, status, fleet(rollout), loop.nowMillis());
        manager.applyDecision(rollout, step.phase());
        log(rollout, step, status, observed);
        step.record().ifPresent(state -> record(rollout, state));
    }

    private Fleet fleet(Rollout rollout) {
        List<Upstream> serving = directory.serving(rollout.order().service());
        List<Upstream> target = serving.stream().filter(rollout::isTarget).toList();
        List<Upstream> old =
                directory.all().stream()
                        .filter(upstream -> upstream.service().equals(rollout.order().service()))
                        .filter(upstream -> !rollout.isTarget(upstream))
                        .toList();
        return new Fleet(serving.size() - target.size(), target.size(), loads.requests(old));
    }

    /** Logs each change of phase or record, and the status of the roll-out once a second. */
    private void log(
            Rollout rollout, Step step, RolloutStatus status, List<RouteEvidence> observed) {
        String service = rollout.order().service();
        String state =
                step.phase() + step.record().map(record -> ", recording " + record).orElse("");
        boolean changed = !state.equals(loggedStates.put(service, state));
        if (changed) {
            String subject = "roll-out of " + service + " to " + rollout.order().version();
            String exposure =
                    "; sent here "
                            + rollout.ledger().exposedRequests()
                            + " of "
                            + rollout.ledger().sentRequests();
            DecisionLog.write(new Lifecycle(subject, state, step.reason() + exposure));
        }
        long now = loop.nowMillis();
        if (changed
                || now - statusLoggedMillis.getOrDefault(service, now - STATUS_LOG_INTERVAL_MILLIS)
                        >= STATUS_LOG_INTERVAL_MILLIS) {
            statusLoggedMillis.put(service, now);
            DecisionLog.write(statusLine(rollout, step, status, observed));
        }
    }

    private RolloutStep statusLine(
            Rollout rollout, Step step, RolloutStatus status, List<RouteEvidence> observed) {
        long leftMillis = rollout.deadlineMillis() - loop.nowMillis();
        State recorded = status.isAbout(rollout.order()) ? status.state() : State.NONE;
        return new RolloutStep(
                rollout.order().service(),
                rollout.order().version(),
                step.phase().name(),
                step.record().orElse(recorded).name(),
                step.reason(),
                rollout.isDeadlineKnown() ? leftMillis : -1,
                rollout.ledger().bound(),
                observed);
    }

    private void record(Rollout rollout, State state) {
        String service = rollout.order().service();
        write(new RolloutStatus(service, rollout.order().version(), state, 0));
    }

    private void recordAgain(RolloutStatus lost) {
        if (!writing.contains(lost.service())) {
            String subject = "roll-out of " + lost.service() + " to " + lost.version();
            DecisionLog.write(new Lifecycle(subject, "recorded again", lost.state().name()));
            write(lost.withRevision(0));
        }
    }

    private void write(RolloutStatus next) {
        String service = next.service();
        if (!writing.add(service)) {
            return;
        }
        String key = key(service);
        long expected = manager.expectedRevision(service);
        store.write(
                new StoreWrite(key, format.rolloutStatus(next), expected, 0),
                result -> recorded(key, next, result));
    }

    private void recorded(String key, RolloutStatus next, Either<StoreFailure, Long> result) {
        String service = next.service();
        if (result.isRight()) {
            health.answered();
            writing.remove(service);
            manager.recorded(next.withRevision(result.get()), true);
            return;
        }
        health.failed(result.getLeft());
        loop.schedule(
                READ_BACK_DELAY_MILLIS, () -> store.read(key, read -> readBack(service, read)));
    }

    /**
     * Reads the record: the write may be done though its answer was lost, or another leader has
     * written.
     */
    private void readBack(String service, Either<StoreFailure, StoreItem> read) {
        writing.remove(service);
        if (read.isLeft()) {
            health.failed(read.getLeft());
            return;
        }
        recordRead(service, read.get());
    }

    private void recordRead(String service, StoreItem item) {
        health.answered();
        if (!item.removed()) {
            manager.read(service, item, false);
        }
    }

    private String key(String service) {
        return format.rolloutStatusPrefix() + service;
    }
}
