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
 * The upstreams that name how many requests they accept from all processes together.
 *
 * <p>To send a request to such an upstream, a process needs a send slot. A slot is taken when an
 * upstream is chosen and returned if nothing was sent, so that two requests never use the same
 * slot.
 *
 * <pre>{@code
 * limits.answerReceived(upstream, LimitNotice.of(4), sentMillis, nowMillis);
 * if (limits.waitMillis(upstream) == 0) {
 *     Optional<SendSlot> slot = limits.take(upstream);
 *     // send, or limits.returnSlot(slot.get())
 * }
 * }</pre>
 *
 * @since 0.6
 */
public final class UpstreamLimits {
    private static final int MAX_LIMITED = 10_000;

    /**
     * By how much a peer's report is treated as older, in milliseconds: messages take less time.
     */
    private static final long MAX_MESSAGE_DELAY_MILLIS = 100;

    private final LongSupplier agreedMillis;
    private final Function<Upstream, SendSlotOrder> order;
    private final Map<String, UpstreamLimit> limits = new RecentMap<>(MAX_LIMITED);
    private Consumer<String> onUpdate = upstream -> {};
    private int namedCount;

    /**
     * Creates an instance without limits.
     *
     * @param agreedMillis the time of day that the processes agree on
     * @param order returns which send slots at an upstream's limit belong to this process
     */
    public UpstreamLimits(LongSupplier agreedMillis, Function<Upstream, SendSlotOrder> order) {
        this.agreedMillis = agreedMillis;
        this.order = order;
    }

    /**
     * Sets the listener that is notified of each upstream whose state must be reported to peers.
     *
     * @param listener receives the upstream's name
     */
    public void onUpdate(Consumer<String> listener) {
        onUpdate = listener;
    }

    /**
     * Applies what an answer reports.
     *
     * @param upstream the upstream, which is known to be the one that answered
     * @param limit what the answer reports about its limit
     * @param sentMillis when the request was sent, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return true if the limit has changed, begun or ended by it
     */
    public boolean answerReceived(
            Upstream upstream, LimitNotice limit, long sentMillis, long nowMillis) {
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
     * Applies what a peer reports.
     *
     * @param report the peer's report, with times of this process's clock
     * @return true if the limit has changed, begun or ended by it
     */
    public boolean reportReceived(LimitReport report) {
        return apply(report.agedBy(MAX_MESSAGE_DELAY_MILLIS));
    }

    private boolean apply(LimitReport report) {
        long agreedNow = agreedMillis.getAsLong();
        UpstreamLimit known = limits.get(report.upstream());
        if (known != null && report.startedMillis() < known.startedMillis()) {
            return false;
        }
        boolean sameIncarnation = known != null && known.startedMillis() == report.startedMillis();
        boolean changed =
                sameIncarnation ? known.replace(report, agreedNow) : start(report, agreedNow);
        if (changed) {
            count();
        }
        UpstreamLimit limit = limits.get(report.upstream());
        boolean used = limit != null && limit.recordUse(report, agreedNow);
        if (changed || used) {
            onUpdate.accept(report.upstream());
        }
        return changed;
    }

    private boolean start(LimitReport report, long agreedNow) {
        if (report.limit().isNamed()) {
            limits.put(report.upstream(), new UpstreamLimit(report, agreedNow));
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
     * Returns whether an upstream names a limit, as far as is known.
     *
     * @param upstream the upstream
     * @return true if requests to it need a send slot
     */
    public boolean isLimited(Upstream upstream) {
        return of(upstream) != null;
    }

    /**
     * Returns whether no upstream names a limit, which is the usual state.
     *
     * @return true if no request needs a send slot
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
     * Returns the cost term that reserves the send slots of limited upstreams.
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
     * @return milliseconds; 0 if it may send now, {@link Long#MAX_VALUE} if it has no share of the
     *     limit
     */
    public long waitMillis(Upstream upstream) {
        return waitMillis(upstream, 0);
    }

    /**
     * Returns how long it is until this process may send an upstream a request that is not urgent.
     *
     * @param upstream the upstream
     * @param reservedFraction fraction of the validity of each slot during which it is reserved for
     *     more urgent requests, from 0, below 1
     * @return milliseconds; 0 if it may send now, {@link Long#MAX_VALUE} if it has no share of the
     *     limit
     */
    public long waitMillis(Upstream upstream, double reservedFraction) {
        UpstreamLimit limit = of(upstream);
        if (limit == null) {
            return 0;
        }
        long agreedNow = agreedMillis.getAsLong();
        return limit.slots().waitMillis(order.apply(upstream), reservedFraction, agreedNow);
    }

    /**
     * Returns the interval at which this process may send an upstream requests.
     *
     * @param upstream the upstream
     * @return milliseconds between two requests; 0 if it names no limit
     */
    public double ownIntervalMillis(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null ? 0 : limit.slots().ownIntervalMillis(order.apply(upstream));
    }

    /**
     * Returns the remaining fraction of the validity of the slot that is taken next.
     *
     * @param upstream the upstream
     * @return from 1, when the slot begins, to 0; 0 if the upstream names no limit
     */
    public double remainingFraction(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null
                ? 0
                : limit.slots().remainingFraction(order.apply(upstream), agreedMillis.getAsLong());
    }

    /**
     * Takes a send slot for one request.
     *
     * @param upstream the upstream
     * @return the slot; empty if there is none now, or none is needed
     */
    public Optional<SendSlot> take(Upstream upstream) {
        UpstreamLimit limit = of(upstream);
        return limit == null
                ? Optional.empty()
                : limit.slots().take(order.apply(upstream), agreedMillis.getAsLong());
    }

    /**
     * Returns a slot under which nothing was sent.
     *
     * @param slot the slot
     */
    public void returnSlot(SendSlot slot) {
        UpstreamLimit limit = limits.get(slot.upstream());
        if (limit != null) {
            limit.slots().returnSlot(slot);
        }
    }

    /**
     * Records that a request was sent under a slot.
     *
     * @param slot the slot
     */
    public void sent(SendSlot slot) {
        UpstreamLimit limit = limits.get(slot.upstream());
        if (limit != null && limit.slots().isLowRate()) {
            onUpdate.accept(slot.upstream());
        }
    }

    /**
     * Returns what is known of an upstream's limit, to be reported to peers.
     *
     * @param upstream the upstream's name
     * @return the report, including one that a limit has recently ended; empty if nothing is known
     */
    public Optional<LimitReport> report(String upstream) {
        return Optional.ofNullable(limits.get(upstream)).map(UpstreamLimit::report);
    }

    /**
     * Evicts the limits of upstreams that were removed or restarted, and limits that ended some
     * time ago.
     *
     * @param directory the known upstreams
     * @param nowMillis the current time, in milliseconds
     */
    public void evictOutdated(UpstreamDirectory directory, long nowMillis) {
        limits.values().removeIf(limit -> limit.isOutdated(directory, nowMillis));
        count();
    }

    private UpstreamLimit of(Upstream upstream) {
        UpstreamLimit limit = namedCount == 0 ? null : limits.get(upstream.id());
        boolean applies =
                limit != null
                        && limit.isNamed()
                        && limit.startedMillis() == upstream.startedMillis();
        return applies ? limit : null;
    }
}
