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
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The upstreams that name how many requests they take from all processes together.
 *
 * <p>To send a request to such an upstream a process needs a turn. Turns are taken when an upstream
 * is chosen and given back if nothing was sent, so that two requests never count on the same one.
 *
 * <pre>{@code
 * limits.answered(upstream, LimitNotice.of(4), sentMillis, nowMillis);
 * if (limits.waitMillis(upstream) == 0) {
 *     Optional<SendSlot> turn = limits.take(upstream);
 *     // send, or limits.giveBack(turn)
 * }
 * }</pre>
 *
 * @since 0.6
 */
public final class UpstreamLimits {
    private static final int MAX_LIMITED = 10_000;

    /** By how much more what a peer tells counts as older: the way of a message takes less. */
    private static final long MAX_MESSAGE_DELAY_MILLIS = 100;

    private final LongSupplier agreedMillis;
    private final Function<Upstream, SendSlotOrder> order;
    private final Map<String, UpstreamLimit> limits = new RecentMap<>(MAX_LIMITED);
    private Consumer<String> onUpdate = upstream -> {};
    private int namedCount;

    /**
     * Creates limits of no upstreams.
     *
     * @param agreedMillis the time of day that processes agree on
     * @param order tells which turns at an upstream's limit are this process's
     */
    public UpstreamLimits(LongSupplier agreedMillis, Function<Upstream, SendSlotOrder> order) {
        this.agreedMillis = agreedMillis;
        this.order = order;
    }

    /**
     * Has somebody told of each upstream of which something was learned that peers must know.
     *
     * @param told takes the upstream's name
     */
    public void onUpdate(Consumer<String> told) {
        onUpdate = told;
    }

    /**
     * Takes over what an answer says.
     *
     * @param upstream the upstream, which is known to be the one that answered
     * @param limit what it says of its limit
     * @param sentMillis when the request was sent
     * @param nowMillis the time
     * @return true if the limit has changed, begun or ended by it
     */
    public boolean answerReceived(Upstream upstream, LimitNotice limit, long sentMillis, long nowMillis) {
        boolean unknown = !limits.containsKey(upstream.id());
        if (limit.kind() == LimitNotice.Kind.UNREADABLE || (unknown && !limit.isNamed())) {
            return false;
        }
        return apply(
                new LimitReport(
                        upstream.id(),
                        upstream.startedMillis(),
                        limit,
                        sentMillis,
                        nowMillis,
                        agreedMillis.getAsLong() - (nowMillis - sentMillis)));
    }

    /**
     * Takes over what a peer believes.
     *
     * @param told what it believes, by this process's clock
     * @return true if the limit has changed, begun or ended by it
     */
    public boolean reportReceived(LimitReport told) {
        return apply(told.agedBy(MAX_MESSAGE_DELAY_MILLIS));
    }

    private boolean apply(LimitReport report) {
        long agreed = agreedMillis.getAsLong();
        UpstreamLimit known = limits.get(report.upstream());
        if (known != null && report.startedMillis() < known.startedMillis()) {
            return false;
        }
        boolean sameLife = known != null && known.startedMillis() == report.startedMillis();
        boolean changed = sameLife ? known.replace(report, agreed) : start(report, agreed);
        if (changed) {
            count();
        }
        UpstreamLimit limit = limits.get(report.upstream());
        boolean used = limit != null && limit.recordUse(report, agreed);
        if (changed || used) {
            onUpdate.accept(report.upstream());
        }
        return changed;
    }

    private boolean start(LimitReport report, long agreed) {
        if (report.limit().isNamed()) {
            limits.put(report.upstream(), new UpstreamLimit(report, agreed));
            return true;
        }
        limits.remove(report.upstream());
        count();
        return false;
    }

    private void count() {
        namedCount = (int) limits.values().stream().filter(UpstreamLimit::isNamed).count();
    }

    /**
     * Tells whether an upstream names a limit, as far as is known.
     *
     * @param upstream the upstream
     * @return true if requests to it need a turn
     */
    public boolean isLimited(Upstream upstream) {
        return of(upstream) != null;
    }

    /**
     * Tells whether no upstream names a limit, which is the usual state.
     *
     * @return true if there is nothing to ask for
     */
    public boolean isEmpty() {
        return namedCount == 0;
    }

    /**
     * Returns how many of some upstreams name a limit.
     *
     * @param upstreams the upstreams
     * @return a count
     */
    public int count(Collection<Upstream> upstreams) {
        return isEmpty() ? 0 : (int) upstreams.stream().filter(this::isLimited).count();
    }

    /**
     * Returns the term by which a choice weighs how much of limits is left.
     *
     * @return the term
     */
    public CostTerm cost() {
        return new LimitCost(this);
    }

    /**
     * Returns how long it is until this process may send an upstream a request.
     *
     * @param upstream the upstream
     * @return milliseconds; 0 if it may now, {@link Long#MAX_VALUE} if it has no part in the limit
     */
    public long waitMillis(Upstream upstream) {
        return waitMillis(upstream, 0);
    }

    /**
     * Returns how long it is until this process may send an upstream a request that is not urgent.
     *
     * @param upstream the upstream
     * @param heldPart part of the time of each turn for which it is held for more urgent requests,
     *     from 0, below 1
     * @return milliseconds; 0 if it may now, {@link Long#MAX_VALUE} if it has no part in the limit
     */
    public long waitMillis(Upstream upstream, double heldPart) {
        UpstreamLimit limit = of(upstream);
        if (limit == null) {
            return 0;
        }
        long agreed = agreedMillis.getAsLong();
        return limit.slots().waitMillis(order.apply(upstream), heldPart, agreed);
    }

    /**
     * Returns how often this process may send an upstream a request.
     *
     * @param upstream the upstream
     * @return milliseconds between two requests; 0 if it names no limit
     */
    public double ownIntervalMillis(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null ? 0 : limit.slots().ownIntervalMillis(order.apply(upstream));
    }

    /**
     * Returns how much of the time is left in which the turn to be taken next may be used.
     *
     * @param upstream the upstream
     * @return from 1, when it begins, to 0; 0 if the upstream names no limit
     */
    public double remainingFraction(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null
                ? 0
                : limit.slots().remainingFraction(order.apply(upstream), agreedMillis.getAsLong());
    }

    /**
     * Takes a turn for one request.
     *
     * @param upstream the upstream
     * @return the turn; empty if there is none now, or none is needed
     */
    public Optional<SendSlot> take(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null
                ? Optional.empty()
                : limit.slots().take(order.apply(upstream), agreedMillis.getAsLong());
    }

    /**
     * Gives a turn back under which nothing was sent.
     *
     * @param turn the turn
     */
    public void returnSlot(SendSlot turn) {
        UpstreamLimit limit = limits.get(turn.upstream());
        if (limit != null) {
            limit.slots().returnSlot(turn);
        }
    }

    /**
     * Records that a request was sent under a turn.
     *
     * @param turn the turn
     */
    public void sent(SendSlot turn) {
        UpstreamLimit limit = limits.get(turn.upstream());
        if (limit != null && limit.slots().isLowRate()) {
            onUpdate.accept(turn.upstream());
        }
    }

    /**
     * Returns what is believed of an upstream, to be told to peers.
     *
     * @param upstream the upstream's name
     * @return the belief, also that a limit has ended a while ago; empty if there is none
     */
    public Optional<LimitReport> report(String upstream) {
        return Optional.ofNullable(limits.get(upstream)).map(UpstreamLimit::report);
    }

    /**
     * Forgets upstreams that are gone or have started anew, and limits that ended a while ago.
     *
     * @param directory the upstreams known
     * @param nowMillis the time
     */
    public void evictOutdated(UpstreamDirectory directory, long nowMillis) {
        limits.values().removeIf(limit -> limit.isOutdated(directory, nowMillis));
        count();
    }

    private UpstreamLimit of(Upstream upstream) {
        UpstreamLimit limit = namedCount == 0 ? null : limits.get(upstream.id());
        boolean holds =
                limit != null && limit.isNamed() && limit.startedMillis() == upstream.startedMillis();
        return holds ? limit : null;
    }
}
