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
 * Holds the leader's lease if it can, and has usage reported while it does.
 *
 * @since 0.2
 */
public final class DutyRunner implements StoreWatcher.Listener {
    /** Prefix of the leader's key. */
    public static final String LEADER_PREFIX = "trailladder/live/leader";

    private static final long STEP_INTERVAL_MILLIS = 100;

    /** How often counts of old windows are dropped, in milliseconds: it looks at all counts. */
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
     * Creates the runner of a process that follows.
     *
     * @param loop the loop whose thread runs it
     * @param clock the time of day
     * @param store the store
     * @param health told of answers and failures
     * @param duties the platform's calls
     * @param usage the counts
     * @param election decides about the lease
     * @param name this process's name
     * @param life names this life of this process
     * @param timing bounds of time
     * @param random draws how far a token is raised
     * @param metrics the process's figures
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
            String life,
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
        this.incarnation = life;
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
     * Begins to take part.
     *
     * @param firstStart true if nobody has led before
     */
    public void start(boolean firstStart) {
        if (!firstStart) {
            election.started(loop.nowMillis());
        }
        loop.repeat(STEP_INTERVAL_MILLIS, this::step);
        loop.repeat(CLEANUP_INTERVAL_MILLIS, () -> usage.removeOldWindows(clock.millis()));
    }

    /** Gives the lease up if it is held, and asks for none any more. */
    public void stop() {
        election.stop();
        step();
    }

    /**
     * Tells whether this process leads.
     *
     * @return true while its lease surely holds
     */
    public boolean leads() {
        return election.leads(loop.nowMillis());
    }

    /**
     * Returns who this process is as the leader.
     *
     * @return its name and fencing token
     */
    public DutyHolder holder() {
        return new DutyHolder(name, election.token());
    }

    /**
     * Records that a call was refused because the platform has seen a higher token. If the leader's
     * key is this process's all the same, the higher one is of a history that the store has lost.
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
     * Returns the highest fencing token that is known here.
     *
     * @return the token; 0 if none is known
     */
    public long highestToken() {
        return election.highestToken();
    }

    /**
     * Records that a peer knows of a token.
     *
     * @param token the token; 0 if the peer knows of none
     */
    public void tokenReported(long token) {
        election.tokenSeen(token);
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

    /** What was read before this process claimed the key may be told after it. */
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

    /** Goes on as the leader if its key is still there and its lease is its own. */
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
        boolean none = item.removed();
        long token = none ? 0 : LeaderKey.token(item);
        election.displaced(none ? 0 : item.revision(), token, loop.nowMillis());
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
