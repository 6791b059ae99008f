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
package io.trailladder.core.upstream;

import io.trailladder.core.RecentMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The upstreams that announce that they end if they must refuse too many requests in a second.
 *
 * <p>All processes together stay below that number. While an upstream is known to use less than
 * half of its slots, requests are sent as usual. Beyond that, each process has no more requests
 * there than its part of the slots; where these are fewer than the processes, they take turns.
 * After a refusal, a process keeps to its part for a while, longer each time. If it is refused even
 * then, it sends nothing for so long that the refusals of all processes add up to half of what the
 * upstream bears.
 *
 * <p>Requests that run for less time than the reports of peers are old make these reports useless:
 * the slots that they show as free are taken by several processes at once. For such requests, turns
 * are shorter, and an upstream that bears few refusals is sent requests in turns only. A process
 * then begins restrained: it sends nothing in the second half of its turn, so that its request has
 * ended when the next process begins.
 *
 * <pre>{@code
 * brittle.answerReceived(upstream, 5, sentMillis, nowMillis);
 * if (brittle.waitMillis(upstream) == 0) {
 *     // send
 * }
 * }</pre>
 *
 * @since 0.7
 */
public final class BrittleUpstreams {
    /** How long a statement holds that no answer repeats, in milliseconds. */
    static final long MAX_AGE_MILLIS = 6_000;

    /** Duration of a turn, in milliseconds: about the interval of digests. */
    static final long TURN_MILLIS = 200;

    /**
     * Refusals in a second per slot from which an upstream bears that several processes take the
     * same slot.
     */
    private static final double MANY_REFUSALS_PER_SLOT = 3;

    private static final long MIN_RESTRAINT_MILLIS = 5_000;
    private static final long MAX_RESTRAINT_MILLIS = 600_000;
    private static final long MIN_PAUSE_MILLIS = 500;
    private static final long MAX_PAUSE_MILLIS = 30_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Part of the refusals that an upstream bears which all processes together may cause. */
    private static final double USED_PART = 0.5;

    /** Part of them that may be caused by processes that are no longer restrained. */
    private static final double FREELY_USED_REFUSALS = 0.25;

    /**
     * The restraints of processes differ by up to this factor, so that they do not end together.
     */
    private static final double RESTRAINT_SPREAD = 1;

    /** Part of an upstream's slots below which it is certain enough that one is free. */
    private static final double FREELY_USED_PART = 0.5;

    private static final int MAX_REMEMBERED = 4_096;

    private final UpstreamLoads loads;
    private final LongSupplier agreedMillis;
    private final LongSupplier nowMillis;
    private final Function<Upstream, SendSlotOrder> order;
    private final Map<String, Statement> known = new RecentMap<>(MAX_REMEMBERED);
    private final Map<String, Restraint> restraints = new RecentMap<>(MAX_REMEMBERED);
    private final RunTimes runTimes = new RunTimes();

    /**
     * What an upstream announced.
     *
     * @param upstream the upstream's name
     * @param startedMillis when its incarnation started; 0 if unknown
     * @param refusalsPerSecond the number of refusals in a second at which it ends; 0 if it
     *     announces none any more
     * @param saidMillis when the request was sent whose answer announced it, in milliseconds
     */
    public record Statement(
            String upstream, long startedMillis, double refusalsPerSecond, long saidMillis) {}

    /** Until when this process keeps to its part of an upstream's slots. */
    private static final class Restraint {
        private long untilMillis;
        private double factor = 1;
    }

    /**
     * Creates an instance without statements.
     *
     * @param loads the requests in progress at upstreams, also those of peers
     * @param agreedMillis the time of day that the processes agree on
     * @param nowMillis the current time, in milliseconds
     * @param order returns the position of this process among those that use an upstream
     */
    public BrittleUpstreams(
            UpstreamLoads loads,
            LongSupplier agreedMillis,
            LongSupplier nowMillis,
            Function<Upstream, SendSlotOrder> order) {
        this.loads = loads;
        this.agreedMillis = agreedMillis;
        this.nowMillis = nowMillis;
        this.order = order;
    }

    /**
     * Creates an instance for upstreams that announce nothing.
     *
     * @return the instance
     */
    static BrittleUpstreams none() {
        return new BrittleUpstreams(
                new UpstreamLoads(), () -> 0, () -> 0, upstream -> SendSlotOrder.NO_SHARE);
    }

    /**
     * Applies what an answer announces.
     *
     * @param upstream the upstream, which is known to be the one that answered
     * @param refusalsPerSecond the number of refusals in a second at which it ends; 0 if the answer
     *     announces none
     * @param sentMillis when the request was sent, in milliseconds
     * @return true if the announcement is new, changed, or withdrawn
     */
    public boolean answerReceived(Upstream upstream, double refusalsPerSecond, long sentMillis) {
        if (refusalsPerSecond == 0 && !known.containsKey(upstream.id())) {
            return false;
        }
        return apply(
                new Statement(
                        upstream.id(), upstream.startedMillis(), refusalsPerSecond, sentMillis));
    }

    /**
     * Applies what a peer passes on. Older statements than the known one are ignored, as answers
     * and reports overtake one another.
     *
     * @param statement the statement, with times of this process's clock
     * @return true if the announcement is new, changed, or withdrawn
     */
    public boolean apply(Statement statement) {
        Statement last = known.get(statement.upstream());
        if (last == null) {
            known.put(statement.upstream(), statement);
            return statement.refusalsPerSecond() > 0;
        }
        if (statement.saidMillis() < last.saidMillis()
                || statement.startedMillis() < last.startedMillis()) {
            return false;
        }
        known.put(statement.upstream(), statement);
        return statement.refusalsPerSecond() != last.refusalsPerSecond();
    }

    /**
     * Returns the statements that still hold, including withdrawn ones, to be passed on to peers.
     *
     * @return the statements
     */
    public List<Statement> statements() {
        long oldest = nowMillis.getAsLong() - MAX_AGE_MILLIS;
        known.values().removeIf(each -> each.saidMillis() < oldest);
        restraints.keySet().retainAll(known.keySet());
        return List.copyOf(known.values());
    }

    /**
     * Returns whether no upstream announces anything, which is the usual state.
     *
     * @return true if nothing has to be asked
     */
    public boolean isEmpty() {
        return known.isEmpty();
    }

    /**
     * Returns how many upstreams are brittle, as far as is known.
     *
     * @return a count
     */
    public int count() {
        return (int) statements().stream().filter(each -> each.refusalsPerSecond() > 0).count();
    }

    /**
     * Records that a request ran to its end. The time matters only while some upstream is brittle.
     *
     * @param upstream the upstream
     * @param millis the time from sending the request to the end of its answer, in milliseconds
     */
    public void ended(Upstream upstream, long millis) {
        if (!known.isEmpty()) {
            runTimes.ended(upstream.service(), millis);
        }
    }

    /**
     * Returns how long it is until this process may send an upstream a request.
     *
     * @param upstream the upstream
     * @return milliseconds; 0 if it is not brittle, or has room for a request of this process
     */
    public long waitMillis(Upstream upstream) {
        Statement brittle = brittle(upstream);
        if (brittle == null) {
            return 0;
        }
        SendSlotOrder position = order.apply(upstream);
        long shortTurnMillis = runTimes.turnMillis(upstream.service());
        boolean isShort = shortTurnMillis > 0;
        boolean inTurnsOnly =
                isShort && brittle.refusalsPerSecond() < MANY_REFUSALS_PER_SLOT * upstream.slots();
        if (inTurnsOnly) {
            restraints.computeIfAbsent(upstream.id(), id -> firstRestraint(brittle, position));
        }
        boolean isRestrained = isRestrained(upstream.id());
        boolean half = loads.requests(upstream.id()) < upstream.slots() * FREELY_USED_PART;
        if (half && !isRestrained && !inTurnsOnly) {
            return 0;
        }
        long agreedNow = agreedMillis.getAsLong();
        int own = loads.ownRequests(upstream.id());
        if (!isShort) {
            PlaceTurns turns = new PlaceTurns(upstream, position, TURN_MILLIS);
            return own < turns.part(agreedNow) ? 0 : turns.untilNextMillis(agreedNow);
        }
        PlaceTurns turns = new PlaceTurns(upstream, position, shortTurnMillis);
        long unused = isRestrained ? shortTurnMillis / 2 : 0;
        boolean open = own < turns.part(agreedNow) && own < turns.part(agreedNow + unused);
        return open ? 0 : turns.untilNextOwnMillis(agreedNow);
    }

    /** Returns a restraint that ends at a different time in each process. */
    private Restraint firstRestraint(Statement brittle, SendSlotOrder position) {
        Restraint first = new Restraint();
        double millis = freeUseIntervalMillis(brittle, position) * fraction(position);
        first.untilMillis = nowMillis.getAsLong() + Math.round(millis);
        return first;
    }

    /** Returns the interval at which each process may be refused when it is not restrained. */
    private static double freeUseIntervalMillis(Statement brittle, SendSlotOrder position) {
        double bornPerProcess = brittle.refusalsPerSecond() / Math.max(1, position.count());
        return MILLIS_PER_SECOND / (FREELY_USED_REFUSALS * bornPerProcess);
    }

    /** Returns the position of this process among the others, from 0, below 1. */
    private static double fraction(SendSlotOrder position) {
        return (double) position.index() / Math.max(1, position.count());
    }

    private boolean isRestrained(String upstream) {
        Restraint restraint = restraints.get(upstream);
        return restraint != null && nowMillis.getAsLong() < restraint.untilMillis;
    }

    /**
     * Records that a request was refused. To be called for each refusal.
     *
     * @param upstream the upstream
     * @return for how long this process must send it nothing, in milliseconds; 0 if it is not
     *     brittle, or keeping to this process's part suffices for now
     */
    public long refused(Upstream upstream) {
        Statement brittle = brittle(upstream);
        if (brittle == null) {
            return 0;
        }
        SendSlotOrder position = order.apply(upstream);
        double bornPerProcess = brittle.refusalsPerSecond() / Math.max(1, position.count());
        long now = nowMillis.getAsLong();
        Restraint restraint = restraints.computeIfAbsent(upstream.id(), id -> new Restraint());
        if (now >= restraint.untilMillis) {
            double spread = 1 + RESTRAINT_SPREAD * fraction(position);
            double millis = freeUseIntervalMillis(brittle, position);
            double longer = Math.max(MIN_RESTRAINT_MILLIS, millis) * restraint.factor * spread;
            restraint.untilMillis = now + Math.round(Math.min(MAX_RESTRAINT_MILLIS, longer));
            restraint.factor *= 2;
            return 0;
        }
        long millis = Math.round(MILLIS_PER_SECOND / (USED_PART * bornPerProcess));
        return Math.max(MIN_PAUSE_MILLIS, Math.min(MAX_PAUSE_MILLIS, millis));
    }

    /** Returns the statement of an upstream that is brittle now; null for any other. */
    private Statement brittle(Upstream upstream) {
        Statement found = known.isEmpty() ? null : known.get(upstream.id());
        boolean applies =
                found != null
                        && found.refusalsPerSecond() > 0
                        && found.startedMillis() == upstream.startedMillis()
                        && nowMillis.getAsLong() - found.saidMillis() <= MAX_AGE_MILLIS;
        return applies ? found : null;
    }
}
