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
 * Assigns upstreams to requests. Requests that no upstream has capacity for wait in the order of
 * their weights.
 *
 * <p>One lock guards the router and the directory of upstreams; requests that waited are called
 * back outside of it.
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
     * A request that needs an upstream. All methods but {@link #placed} are called while the lock
     * of the placements is held, so they must not acquire another lock.
     */
    public interface PendingRequest {
        /**
         * Returns the requirements for the upstream.
         *
         * @return the query
         */
        RoutingQuery query();

        /**
         * Returns the organisation that the request belongs to.
         *
         * @return the organisation
         */
        String organisation();

        /**
         * Returns the weight of the request's row.
         *
         * @return the weight
         */
        int weight();

        /**
         * Returns whether the request has tokens already and needs another upstream to continue.
         *
         * @return true if so; it is then placed before all requests that have no tokens
         */
        boolean answerStarted();

        /**
         * Called when an upstream has been assigned to the request after a wait. The request must
         * release the upstream if it no longer needs it.
         *
         * @param upstream the upstream
         */
        void placed(LocalUpstream upstream);
    }

    /**
     * A routing decision as shown to operators.
     *
     * @param atMillis time of the decision, in milliseconds since 1970
     * @param organisation organisation of the request
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

    /** A request that waited and the upstream assigned to it. */
    private record Assignment(PendingRequest request, LocalUpstream upstream) {}

    /**
     * Creates placements.
     *
     * @param dataCentre the data centre whose upstreams are used
     * @param seed seed of the router's random choices
     * @param callbacks runs the callbacks of requests that waited
     */
    public Placements(String dataCentre, long seed, Executor callbacks) {
        this.callbacks = callbacks;
        this.dataCentre = dataCentre;
        this.router = new Router(dataCentre, directory, seed);
    }

    /**
     * Requests an upstream.
     *
     * @param request the request
     * @return the upstream; empty if the request is queued until {@link PendingRequest#placed} is
     *     called
     */
    public synchronized Optional<LocalUpstream> request(PendingRequest request) {
        if (queued.contains(request)) {
            return Optional.empty();
        }
        WeightedQueue<PendingRequest> queue = queue(request.query().target());
        Optional<LocalUpstream> upstream = queue.size() == 0 ? choose(request) : Optional.empty();
        if (upstream.isEmpty()) {
            queued.add(request);
            queue.add(request, request.organisation(), request.weight(), request.answerStarted());
        }
        return upstream;
    }

    /**
     * Removes a request from the queue.
     *
     * @param request the request
     */
    public synchronized void withdraw(PendingRequest request) {
        if (queued.remove(request)) {
            queue(request.query().target()).remove(request);
        }
    }

    /** Assigns upstreams to waiting requests as far as capacity allows. */
    public void placeWaiting() {
        List<Assignment> assignments = new ArrayList<>();
        synchronized (this) {
            queues.values().forEach(queue -> placeWaiting(queue, assignments));
        }
        // Not on the calling thread, which may hold the lock of another request.
        assignments.forEach(
                assignment ->
                        callbacks.execute(
                                () -> assignment.request().placed(assignment.upstream())));
    }

    /**
     * Releases an upstream that was assigned to a request, and places waiting requests.
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
     * Records whether an attempt at an upstream succeeded.
     *
     * @param upstream the upstream's name
     * @param succeeded true if the upstream answered
     */
    public synchronized void attemptEnded(String upstream, boolean succeeded) {
        if (succeeded) {
            router.load(upstream).succeeded();
        } else {
            router.load(upstream).failed(MonotonicClock.millis());
        }
    }

    /**
     * Records the load that an upstream reported.
     *
     * @param upstream the upstream's name
     * @param report the report
     */
    public synchronized void loadReported(String upstream, LoadReport report) {
        router.load(upstream).reported(report, MonotonicClock.millis());
    }

    /**
     * Applies a copy of the instance list.
     *
     * @param listed the upstreams that are live or leaving
     * @param leaving the names of those that are leaving
     * @return the upstreams that are newly leaving
     */
    public synchronized List<LocalUpstream> applyList(
            Collection<LocalUpstream> listed, Collection<String> leaving) {
        return directory.listed(listed, leaving);
    }

    /**
     * Records a notice that an upstream is leaving.
     *
     * @param upstream the upstream's name
     * @return true if the upstream was not known to be leaving
     */
    public synchronized boolean noticeReceived(String upstream) {
        boolean known = directory.leaving().contains(upstream);
        directory.leavingNoticed(upstream);
        return !known;
    }

    /**
     * Returns the known upstreams.
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
     * Returns whether any upstream of this data centre serves a target.
     *
     * @param target model or service
     * @return true if one does and is not leaving
     */
    public synchronized boolean serves(String target) {
        return router.serves(target);
    }

    /**
     * Returns, for each target, the shortest predicted wait at the upstreams of this data centre,
     * with a prompt of 256 tokens.
     *
     * @return the wait in milliseconds by target
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
     * Returns the latest routing decisions.
     *
     * @return oldest first
     */
    public synchronized List<LoggedDecision> decisions() {
        return List.copyOf(decisions);
    }

    private void placeWaiting(WeightedQueue<PendingRequest> queue, List<Assignment> assignments) {
        while (queue.size() > 0) {
            Optional<PendingRequest> next = queue.peek();
            Optional<LocalUpstream> upstream = next.flatMap(this::choose);
            if (upstream.isEmpty()) {
                return;
            }
            queue.poll();
            queued.remove(next.get());
            assignments.add(new Assignment(next.get(), upstream.get()));
        }
    }

    private Optional<LocalUpstream> choose(PendingRequest request) {
        RoutingQuery query = request.query();
        long now = MonotonicClock.millis();
        RoutingDecision decision = router.choose(query, now);
        if (decision.chosen().isEmpty()) {
            return Optional.empty();
        }
        String id = decision.chosen().get();
        router.sent(query, id, now);
        log(request, query, decision);
        return directory.state(id).map(UpstreamState::upstream);
    }

    private void log(PendingRequest request, RoutingQuery query, RoutingDecision decision) {
        decisions.addLast(
                new LoggedDecision(
                        System.currentTimeMillis(),
                        request.organisation(),
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
