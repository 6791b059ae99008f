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

import io.trailladder.core.duty.UpstreamOrder;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.Duty;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.DutyResult;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Gives orders of upstreams to the cloud: each once, again if it was not accepted or had no effect,
 * and more slowly where the cloud declines.
 */
final class OrderDispatcher {
    /**
     * Least pause between two orders about the same upstreams, in milliseconds: each call costs.
     */
    private static final long MIN_PAUSE_MILLIS = 900;

    /**
     * Pause after an order that could not be had, in milliseconds; doubled with each further one,
     * as shortages last 5 to 15 s.
     */
    private static final long DECLINED_PAUSE_MILLIS = 1_500;

    private static final int MAX_DOUBLINGS = 2;

    /** Time beyond the boot after which the list should follow an order, in milliseconds. */
    private static final long SETTLE_MILLIS = 4_000;

    private final EventLoop loop;
    private final DutyApi duties;
    private final GatewayMetrics metrics;
    private final Map<Subject, LastOrder> lastOrders = new HashMap<>();
    private DutyHolder holder = new DutyHolder("", 0);
    private long holderSinceMillis;

    /** What an order is about. */
    private record Subject(String service, String dataCentre, boolean reclaimable) {
        static Subject of(UpstreamOrder order) {
            return new Subject(order.service(), order.dataCentre(), order.reclaimable());
        }

        // written out: the methods that records get are linked at their first call
        @Override
        public boolean equals(Object other) {
            return other instanceof Subject that
                    && service.equals(that.service)
                    && dataCentre.equals(that.dataCentre)
                    && reclaimable == that.reclaimable;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * service.hashCode() + dataCentre.hashCode())
                    + Boolean.hashCode(reclaimable);
        }
    }

    /** The last order about a subject. */
    private static final class LastOrder {
        private int count = -1;
        private long sentMillis;
        private boolean unanswered;
        private boolean accepted;
        private int declined;

        long pauseMillis() {
            int doublings = Math.min(MAX_DOUBLINGS, declined - 1);
            return declined == 0 ? MIN_PAUSE_MILLIS : DECLINED_PAUSE_MILLIS << doublings;
        }
    }

    /**
     * Creates a desk that has given no order.
     *
     * @param loop the loop whose thread runs it
     * @param duties the platform's calls
     * @param metrics the process's figures
     */
    OrderDispatcher(EventLoop loop, DutyApi duties, GatewayMetrics metrics) {
        this.loop = loop;
        this.duties = duties;
        this.metrics = metrics;
    }

    /** Forgets all orders if another leader may have given some since. */
    void setHolder(DutyHolder leader) {
        if (leader.token() != holder.token()) {
            lastOrders.clear();
            holderSinceMillis = loop.nowMillis();
        }
        holder = leader;
    }

    /** Returns the data centres where reclaimable upstreams could not be had when last ordered. */
    Set<String> declined(String service) {
        Set<String> dataCentres = new TreeSet<>();
        lastOrders.forEach(
                (subject, last) -> {
                    if (subject.reclaimable()
                            && subject.service().equals(service)
                            && last.declined > 0) {
                        dataCentres.add(subject.dataCentre());
                    }
                });
        return dataCentres;
    }

    /**
     * Gives an order, unless it was given already or must wait.
     *
     * @param order the order
     * @param upstreams the service's upstreams, leaving ones too
     * @param bootMillis how long an upstream boots, in milliseconds
     * @param protectsBooting true if upstreams that an earlier leader has bought may be needed
     * @param reason tells what led to it; asked only if it is given
     */
    void submit(
            UpstreamOrder order,
            List<Upstream> upstreams,
            long bootMillis,
            boolean protectsBooting,
            Supplier<String> reason) {
        boolean mayBoot = protectsBooting && loop.nowMillis() - holderSinceMillis < bootMillis;
        if (mayBoot && mayEndBooting(order, upstreams)) {
            return;
        }
        LastOrder last = lastOrders.computeIfAbsent(Subject.of(order), key -> new LastOrder());
        long since = loop.nowMillis() - last.sentMillis;
        boolean changed = last.count != order.count() || !last.accepted;
        boolean ignored =
                since >= bootMillis + SETTLE_MILLIS
                        && serving(upstreams, Subject.of(order)) != order.count();
        if (last.unanswered || since < last.pauseMillis() || !(changed || ignored)) {
            return;
        }
        last.count = order.count();
        last.sentMillis = loop.nowMillis();
        last.unanswered = true;
        DutyHolder giver = holder;
        String why = reason.get();
        duties.order(giver, order, result -> answered(giver, order, why, last, result));
    }

    /**
     * Tells whether an order may end upstreams at the full price that an earlier leader has bought
     * and that still boot: a new one does not know of them, nor of what was declined to its
     * predecessor.
     */
    private static boolean mayEndBooting(UpstreamOrder order, List<Upstream> upstreams) {
        return !order.reclaimable() && order.count() <= serving(upstreams, Subject.of(order));
    }

    private void answered(
            DutyHolder giver, UpstreamOrder order, String reason, LastOrder last, DutyResult result) {
        last.unanswered = false;
        last.declined = result == DutyResult.DECLINED ? last.declined + 1 : 0;
        last.accepted = result == DutyResult.ACCEPTED;
        String kind = order.reclaimable() ? "reclaimable" : "full price";
        DecisionLog.write(
                new Duty(
                        "order",
                        String.format(
                                Locale.ROOT,
                                "%d %s in %s, %s",
                                order.count(),
                                kind,
                                order.dataCentre(),
                                reason),
                        giver.token(),
                        result.name()));
        if (result != DutyResult.ACCEPTED) {
            metrics.count(GatewayMetrics.Event.DUTY_FAILURE);
        }
    }

    private static int serving(List<Upstream> upstreams, Subject subject) {
        return (int)
                upstreams.stream()
                        .filter(upstream -> upstream.dataCentre().equals(subject.dataCentre()))
                        .filter(upstream -> upstream.reclaimable() == subject.reclaimable())
                        .filter(upstream -> !upstream.draining())
                        .count();
    }
}
