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
package io.trailladder.entry.serve;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.LocalUpstreamDirectory;
import io.trailladder.core.membership.UpstreamState;
import io.trailladder.core.request.WeightedQueue;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.core.routing.Router;
import io.trailladder.core.routing.RoutingDecision;
import io.trailladder.core.routing.RoutingQuery;
import io.trailladder.entry.MonotonicClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Gives requests their upstreams, and lets those that find no room wait in the order of their
 * weights.
 *
 * <p>Guards the router and the directory of upstreams with one lock; calls tickets back outside of
 * it.
 *
 * @since 0.1
 */
public final class Placements {
    private static final int MAX_DECISIONS = 200;

    private final String dataCentre;
    private final Executor callbacks;
    private final LocalUpstreamDirectory directory = new LocalUpstreamDirectory();
    private final Router router;
    private final Map<String, WeightedQueue<PendingRequest>> queues = new HashMap<>();
    private final Set<PendingRequest> queued = new HashSet<>();
    private final Deque<LoggedDecision> decisions = new ArrayDeque<>();

    /**
     * A request that wants an upstream. All but {@link #placed} are called under the lock of the
     * placements, so they must take no other lock.
     */
    public interface PendingRequest {
        /**
         * Returns what is asked for.
         *
         * @return the query
         */
        RoutingQuery query();

        /**
         * Returns whose request it is.
         *
         * @return the organisation
         */
        String organisation();

        /**
         * Returns its row's weight.
         *
         * @return the weight
         */
        int weight();

        /**
         * Tells whether it had begun and lost its upstream.
         *
         * @return true if so; it then goes before requests that have not begun
         */
        boolean answerStarted();

        /**
         * Is told that its wait is over. Must release the upstream if it wants it no more.
         *
         * @param upstream the upstream
         */
        void placed(LocalUpstream upstream);
    }

    /**
     * A decision as operators see it.
     *
     * @param atMillis when, in milliseconds since 1970
     * @param organisation whose request
     * @param target model or service
     * @param promptTokens estimated length of the prompt
     * @param decision the decision with its inputs
     */
    public record LoggedDecision(
            long atMillis,
            String organisation,
            String target,
            int promptTokens,
            RoutingDecision decision) {}

    /** A ticket whose wait is over. */
    private record Assignment(PendingRequest request, LocalUpstream upstream) {}

    /**
     * Creates placements.
     *
     * @param dataCentre the data centre whose upstreams are used
     * @param seed seed of random choices
     * @param callbacks runs the tickets' callbacks
     */
    public Placements(String dataCentre, long seed, Executor callbacks) {
        this.callbacks = callbacks;
        this.dataCentre = dataCentre;
        this.router = new Router(dataCentre, directory, seed);
    }

    /**
     * Asks for an upstream.
     *
     * @param ticket the request
     * @return the upstream, or empty if the request must wait for {@link PendingRequest#placed}
     */
    public synchronized Optional<LocalUpstream> request(PendingRequest ticket) {
        if (queued.contains(ticket)) {
            return Optional.empty();
        }
        WeightedQueue<PendingRequest> queue = queue(ticket.query().target());
        Optional<LocalUpstream> upstream = queue.size() == 0 ? choose(ticket) : Optional.empty();
        if (upstream.isEmpty()) {
            queued.add(ticket);
            queue.add(ticket, ticket.organisation(), ticket.weight(), ticket.answerStarted());
        }
        return upstream;
    }

    /**
     * Takes a request out of the queue.
     *
     * @param ticket the request
     */
    public synchronized void withdraw(PendingRequest ticket) {
        if (queued.remove(ticket)) {
            queue(ticket.query().target()).remove(ticket);
        }
    }

    /** Lets waiting requests go on if there is room for them. */
    public void placeWaiting() {
        List<Assignment> granted = new ArrayList<>();
        synchronized (this) {
            queues.values().forEach(queue -> placeWaiting(queue, granted));
        }
        // never from the caller's thread, which may hold another request's lock
        granted.forEach(grant -> callbacks.execute(() -> grant.request().placed(grant.upstream())));
    }

    /**
     * Gives an upstream back.
     *
     * @param upstream its name
     */
    public void release(String upstream) {
        synchronized (this) {
            router.load(upstream).ended();
        }
        placeWaiting();
    }

    /**
     * Records how an attempt went.
     *
     * @param upstream the upstream's name
     * @param succeeded true if it answered
     */
    public synchronized void attemptEnded(String upstream, boolean succeeded) {
        if (succeeded) {
            router.load(upstream).succeeded();
        } else {
            router.load(upstream).failed(MonotonicClock.millis());
        }
    }

    /**
     * Takes over a load report.
     *
     * @param upstream the upstream's name
     * @param report the report
     */
    public synchronized void loadReported(String upstream, LoadReport report) {
        router.load(upstream).reported(report, MonotonicClock.millis());
    }

    /**
     * Takes over a copy of the instance list.
     *
     * @param listed upstreams live or leaving
     * @param leaving names of those that are leaving
     * @return upstreams that are newly leaving
     */
    public synchronized List<LocalUpstream> applyList(
            Collection<LocalUpstream> listed, Collection<String> leaving) {
        return directory.listed(listed, leaving);
    }

    /**
     * Takes over a notice.
     *
     * @param upstream the upstream's name
     * @return true if it is news
     */
    public synchronized boolean noticeReceived(String upstream) {
        boolean known = directory.leaving().contains(upstream);
        directory.leavingNoticed(upstream);
        return !known;
    }

    /**
     * Returns the upstreams known.
     *
     * @return their states
     */
    public synchronized List<UpstreamState> states() {
        return directory.states();
    }

    /**
     * Returns the names of upstreams known to be leaving.
     *
     * @return a copy
     */
    public synchronized Set<String> leaving() {
        return directory.leaving();
    }

    /**
     * Tells whether an upstream here serves a target.
     *
     * @param target model or service
     * @return true if one does and is not leaving
     */
    public synchronized boolean serves(String target) {
        return router.serves(target);
    }

    /**
     * Returns the shortest wait for each target of this data centre.
     *
     * @return milliseconds by target
     */
    public synchronized Map<String, Integer> minQueueMillis() {
        Map<String, Integer> waits = new HashMap<>();
        long now = MonotonicClock.millis();
        for (UpstreamState state : directory.states()) {
            boolean here = state.upstream().dataCentre().equals(dataCentre);
            if (here && state.takesNewWork()) {
                double wait = router.load(state.upstream().id()).queueMillis(256, now);
                waits.merge(state.upstream().target(), (int) wait, Math::min);
            }
        }
        return waits;
    }

    /**
     * Returns the last decisions.
     *
     * @return oldest first
     */
    public synchronized List<LoggedDecision> decisions() {
        return List.copyOf(decisions);
    }

    private void placeWaiting(WeightedQueue<PendingRequest> queue, List<Assignment> granted) {
        while (queue.size() > 0) {
            Optional<PendingRequest> next = queue.peek();
            Optional<LocalUpstream> upstream = next.flatMap(this::choose);
            if (upstream.isEmpty()) {
                return;
            }
            queue.poll();
            queued.remove(next.get());
            granted.add(new Assignment(next.get(), upstream.get()));
        }
    }

    private Optional<LocalUpstream> choose(PendingRequest ticket) {
        RoutingQuery query = ticket.query();
        long now = MonotonicClock.millis();
        RoutingDecision decision = router.choose(query, now);
        if (decision.chosen().isEmpty()) {
            return Optional.empty();
        }
        String id = decision.chosen().get();
        router.sent(query, id, now);
        log(ticket, query, decision);
        return directory.state(id).map(UpstreamState::upstream);
    }

    private void log(PendingRequest ticket, RoutingQuery query, RoutingDecision decision) {
        decisions.addLast(
                new LoggedDecision(
                        System.currentTimeMillis(),
                        ticket.organisation(),
                        query.target(),
                        query.promptTokens(),
                        decision));
        if (decisions.size() > MAX_DECISIONS) {
            decisions.removeFirst();
        }
    }

    private WeightedQueue<PendingRequest> queue(String target) {
        return queues.computeIfAbsent(target, t -> new WeightedQueue<>());
    }
}
