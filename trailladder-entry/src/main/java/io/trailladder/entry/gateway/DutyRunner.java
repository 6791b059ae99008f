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

import io.trailladder.core.duty.LeaderElection;
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Takes part in the election of the leader, and has usage reported while this process leads.
 *
 * @since 0.2
 */
public final class DutyRunner implements StoreWatcher.Listener {
    /** The leader's key. */
    public static final String LEADER_PREFIX = "trailladder/live/leader";

    private static final long STEP_INTERVAL_MILLIS = 100;

    /** How often counts of old windows are dropped, in milliseconds; each run scans all counts. */
    private static final long CLEANUP_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final UsageLedger usage;
    private final UsageReporter reporter;
    private final LeaderTokens tokens;
    private final LeaderElection election;
    private final String name;
    private final String incarnation;
    private final long ttlMillis;
    private long claimedRevision;
    private boolean wasLeading;

    /**
     * Creates the runner of a process that does not lead yet.
     *
     * @param loop the event loop that runs it
     * @param clock the time of day
     * @param store the store
     * @param health notified of answers and failures
     * @param duties the platform's duty calls
     * @param usage the usage counts
     * @param election decides when to claim, renew and end the lease
     * @param name this process's name
     * @param incarnation the name of this incarnation of this process
     * @param timing the lease's time to live
     * @param random draws the increments of raised tokens
     * @param metrics the process's metrics
     */
    public DutyRunner(
            EventLoop loop,
            Clock clock,
            CoordinationStore store,
            StoreHealth health,
            DutyApi duties,
            UsageLedger usage,
            LeaderElection election,
            String name,
            String incarnation,
            GatewaySettings.Timing timing,
            SplittableRandom random,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.health = health;
        this.usage = usage;
        this.election = election;
        this.name = name;
        this.incarnation = incarnation;
        this.ttlMillis = timing.leaseMillis();
        this.tokens = new LeaderTokens(store, health, election, random);
        this.reporter =
                new UsageReporter(
                        clock,
                        store,
                        health,
                        duties,
                        usage,
                        () -> leads() ? holder() : new DutyHolder(name, 0),
                        this::outranked,
                        metrics);
        health.history().onReplaced(this::historyReplaced);
    }

    /**
     * Starts to take part in the election.
     *
     * @param firstStart true if no process has led before
     */
    public void start(boolean firstStart) {
        if (!firstStart) {
            election.started(loop.nowMillis());
        }
        loop.repeat(STEP_INTERVAL_MILLIS, this::step);
        loop.repeat(CLEANUP_INTERVAL_MILLIS, () -> usage.removeOldWindows(clock.millis()));
    }

    /** Ends the lease if this process holds one, and claims none any more. */
    public void stop() {
        election.stop();
        step();
    }

    /**
     * Returns whether this process leads.
     *
     * @return true while its lease is certain to be valid
     */
    public boolean leads() {
        return election.leads(loop.nowMillis());
    }

    /**
     * Returns this process's identity as the leader.
     *
     * @return its name and fencing token
     */
    public DutyHolder holder() {
        return new DutyHolder(name, election.token());
    }

    /**
     * Records that a call was refused because the platform has seen a higher token. If this process
     * still owns the leader's key, the higher token is from a history that the store has lost, and
     * this process raises its own; otherwise it gives up the leadership.
     */
    public void outranked() {
        store.read(LEADER_PREFIX, this::outrankedBy);
    }

    private void outrankedBy(Either<StoreFailure, StoreItem> key) {
        if (key.isRight() && isOwn(key.get()) && leads()) {
            tokens.raise();
        } else {
            election.leadershipLost(loop.nowMillis());
        }
    }

    /**
     * Returns the highest fencing token that is known to this process.
     *
     * @return the token; 0 if none is known
     */
    public long highestToken() {
        return election.highestToken();
    }

    /**
     * Records the highest fencing token that a peer knows.
     *
     * @param token the token; 0 if the peer knows none
     */
    public void tokenReported(long token) {
        election.tokenSeen(token);
    }

    @Override
    public boolean follows(String key) {
        return key.equals(LEADER_PREFIX);
    }

    @Override
    public void listed(List<StoreItem> items, long revision) {
        if (items.isEmpty()) {
            keyRemoved(revision);
        } else {
            changed(items.get(0));
        }
    }

    @Override
    public void changed(StoreItem item) {
        if (item.removed()) {
            keyRemoved(item.revision());
        } else {
            election.keySeen(LeaderKey.token(item));
        }
    }

    /** Ignores a removal that was read before this process claimed the key but arrives after it. */
    private void keyRemoved(long revision) {
        if (revision >= claimedRevision) {
            election.keyRemoved(loop.nowMillis());
        }
    }

    private void historyReplaced() {
        claimedRevision = 0;
        election.historyReplaced(loop.nowMillis());
        reporter.historyReplaced(loop.nowMillis());
    }

    private void step() {
        long now = loop.nowMillis();
        election.epoch(health.history().epoch());
        switch (election.next(now)) {
            case GRANT -> store.grant(ttlMillis, this::granted);
            case CLAIM -> claim();
            case RENEW -> renew(now);
            case CONFIRM -> store.read(LEADER_PREFIX, this::confirm);
            case END -> store.end(election.lease(), ended -> {});
            case NONE -> {}
        }
        boolean leads = election.leads(now);
        if (leads != wasLeading) {
            wasLeading = leads;
            String state = leads ? "leading" : "following";
            DecisionLog.write(new Lifecycle("leadership", state, "token " + election.token()));
        }
        reporter.tick(leads, now);
        if (leads) {
            reporter.reportDue();
        }
    }

    private void granted(Either<StoreFailure, Long> result) {
        if (result.isLeft()) {
            health.failed(result.getLeft());
            election.notClaimed(loop.nowMillis());
            return;
        }
        health.answered();
        tokens.read(
                () -> {
                    election.granted(result.get());
                    step();
                });
    }

    private void claim() {
        long lease = election.lease();
        byte[] value = new LeaderKey(incarnation, election.highestToken()).write();
        store.write(
                new StoreWrite(LEADER_PREFIX, value, election.claimedRevision(), lease),
                result -> claimed(lease, result));
    }

    private void claimed(long lease, Either<StoreFailure, Long> result) {
        if (result.isRight()) {
            health.answered();
            claimedRevision = result.get();
            election.claimed(claimedRevision);
            tokens.leadershipClaimed(claimedRevision);
            step();
            return;
        }
        health.failed(result.getLeft());
        election.notClaimed(loop.nowMillis());
        store.end(lease, ended -> {});
    }

    /** Continues as the leader if the key is still this process's and its lease can be renewed. */
    private void confirm(Either<StoreFailure, StoreItem> key) {
        if (key.isLeft()) {
            health.failed(key.getLeft());
            election.notConfirmed(loop.nowMillis());
            return;
        }
        health.answered();
        StoreItem item = key.get();
        if (!isOwn(item)) {
            displaced(item);
            return;
        }
        long sentMillis = loop.nowMillis();
        store.renew(
                election.lease(),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        election.confirmed(sentMillis);
                    } else if (result.getLeft() == StoreFailure.LEASE_GONE) {
                        displaced(item);
                    } else {
                        health.failed(result.getLeft());
                        election.notConfirmed(loop.nowMillis());
                    }
                });
    }

    private void displaced(StoreItem item) {
        boolean removed = item.removed();
        long token = removed ? 0 : LeaderKey.token(item);
        election.displaced(removed ? 0 : item.revision(), token, loop.nowMillis());
        step();
    }

    private boolean isOwn(StoreItem item) {
        return !item.removed() && LeaderKey.read(item.value()).incarnation().equals(incarnation);
    }

    private void renew(long sentMillis) {
        store.renew(
                election.lease(),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        election.renewed(sentMillis);
                    } else if (result.getLeft() == StoreFailure.LEASE_GONE) {
                        election.leadershipLost(loop.nowMillis());
                    } else {
                        health.failed(result.getLeft());
                    }
                });
    }
}
