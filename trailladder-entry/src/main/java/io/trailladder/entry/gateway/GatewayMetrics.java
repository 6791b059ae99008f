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

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.trailladder.core.engine.EngineEstimate;
import io.trailladder.core.rollout.AnswerRating;
import java.util.Locale;

/**
 * The figures of a gateway process. Label values come from the policy and from enums, so callers
 * cannot add series.
 *
 * <p>Samples of single requests (exemplars) are off: nobody reads them, and they have a thread of
 * their own that wakes some five times a second.
 *
 * @since 0.2
 */
public final class GatewayMetrics {
    private static final double[] BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5, 10, 30
    };
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            Counter.builder()
                    .withoutExemplars()
                    .name("trailladder_requests_total")
                    .help("Requests by organisation, service and outcome")
                    .labelNames("organisation", "service", "outcome")
                    .register(registry);
    private final Counter attempts =
            Counter.builder()
                    .withoutExemplars()
                    .name("trailladder_attempts_total")
                    .help("Attempts at upstreams by service and result")
                    .labelNames("service", "result")
                    .register(registry);
    private final Counter versionAnswers =
            Counter.builder()
                    .name("trailladder_rollout_answers_total")
                    .help("Answers of both versions during roll-outs by what they say of theirs")
                    .labelNames("service", "version", "result")
                    .register(registry);
    private final Counter events =
            Counter.builder()
                    .withoutExemplars()
                    .name("trailladder_events_total")
                    .help("Events inside the process")
                    .labelNames("event")
                    .register(registry);
    private final Counter storeCalls =
            Counter.builder()
                    .withoutExemplars()
                    .name("trailladder_store_calls_total")
                    .help("Calls to the platform's store by purpose and kind")
                    .labelNames("purpose", "kind")
                    .register(registry);
    private final Histogram firstAnswer =
            histogram("trailladder_first_answer_seconds", "Time to the first byte of the answer");
    private final Histogram completeAnswer =
            histogram("trailladder_request_seconds", "Time to the whole answer");
    private final Gauge policyVersion = gauge("trailladder_policy_version", "Policy in force");
    private final Gauge upstreams = gauge("trailladder_upstreams", "Upstreams listed");
    private final Gauge storeEpoch =
            gauge("trailladder_store_epoch", "Epoch of the store's history; 0 if none is named");
    private final Gauge listRevision =
            gauge("trailladder_upstream_list_revision", "Revision of the list of upstreams");
    private final Gauge listAge =
            gauge(
                    "trailladder_upstream_list_age_seconds",
                    "Time since the store or a peer last showed that the list is current");
    private final Gauge peers = gauge("trailladder_peers_heard", "Peers heard lately");
    private final Gauge members =
            gauge("trailladder_processes", "Processes that share limits, as this one counts them");
    private final Gauge open = gauge("trailladder_open_requests", "Requests in flight");
    private final Gauge leading = gauge("trailladder_leading", "1 while this process leads");
    private final Gauge connections =
            gauge("trailladder_connections_opened", "Connections opened to servers");

    private final Gauge unusableEntries =
            gauge(
                    "trailladder_upstream_entries_unusable",
                    "Entries in the platform's store that name no upstream to use");

    private final Gauge limited =
            gauge(
                    "trailladder_upstreams_limited",
                    "Upstreams that name how many requests they take");
    private final Gauge backingOff =
            gauge("trailladder_upstreams_resting", "Upstreams that asked this process for rest");

    private final Gauge refusedRequests =
            gauge(
                    "trailladder_crashing_requests",
                    "Requests refused for upstreams ended under them");
    private final Gauge rememberedRequests =
            gauge(
                    "trailladder_crash_suspects",
                    "Requests remembered for upstreams ended under them");

    private final Gauge readingSpeed =
            serviceGauge(
                    "trailladder_upstream_tokens_per_second",
                    "Prompt tokens that an upstream is believed to read in a second");
    private final Gauge runSeconds =
            serviceGauge(
                    "trailladder_upstream_run_seconds",
                    "Time that a request is believed to take at an upstream");
    private final Gauge observations =
            serviceGauge(
                    "trailladder_upstream_observations",
                    "Answers behind what is believed of upstreams; older ones count less");

    /** What is counted inside the process. */
    public enum Event {
        /** A connection brought an answer that belongs to another request. */
        FOREIGN_ANSWER,
        /** The store did not answer, or turned a call away. */
        STORE_FAILURE,
        /** A peer told of a newer policy than the store did. */
        POLICY_FROM_PEER,
        /** A second attempt was not made because the budget was used up. */
        RETRY_BUDGET_EMPTY,
        /** A usage report or an order was not accepted. */
        DUTY_FAILURE,
        /** A request was sent to another region. */
        SENT_TO_OTHER_REGION,
        /** A request was not sent because upstreams ended under it before. */
        REFUSED_AS_CRASHING,
        /** An answer was the first to tell that its upstream leaves. */
        UPSTREAM_SAID_IT_LEAVES,
        /** An upstream that was not resting asked this process for rest. */
        UPSTREAM_ASKED_FOR_REST,
        /**
         * An answer named a limit of its upstream that was not known, another one, or none more.
         */
        UPSTREAM_CHANGED_ITS_LIMIT,
        /** What an answer said of its upstream could not be read. */
        UPSTREAM_NOTICE_UNREADABLE,
        /** A request was not sent since its upstream no longer takes it, by what it has said. */
        SENDING_WITHHELD,
        /** The store, or a peer, named a later epoch of the store's history than before. */
        STORE_EPOCH_CHANGED,
        /** An earlier epoch of the store's history was named, or one that cannot be true. */
        STORE_EPOCH_PASSED_OVER,
        /** A peer told of a change of an upstream that counts as older than the list here. */
        UPSTREAM_NEWS_PASSED_OVER
    }

    /**
     * Returns the registry, to be exposed.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Records the end of a request.
     *
     * @param organisation whose it was; empty if nobody's
     * @param service the service; empty if none was chosen
     * @param outcome how it ended
     * @param millis how long it took, in milliseconds
     */
    public void requestEnded(String organisation, String service, String outcome, long millis) {
        requests.labelValues(organisation, service, outcome).inc();
        completeAnswer.labelValues(organisation, service).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records the first byte of an answer.
     *
     * @param organisation whose request it was; empty if nobody's
     * @param service the service
     * @param millis time since the request was accepted, in milliseconds
     */
    public void firstAnswer(String organisation, String service, long millis) {
        firstAnswer.labelValues(organisation, service).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts an attempt's result.
     *
     * @param service the service
     * @param result how it ended
     */
    public void attempt(String service, String result) {
        attempts.labelValues(service, result).inc();
    }

    /**
     * Counts an answer during a roll-out.
     *
     * @param service the service
     * @param version the version of the upstream that gave it
     * @param sort what it says of the version
     */
    public void versionAnswered(String service, String version, AnswerRating sort) {
        versionAnswers.labelValues(service, version, sort.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts an event.
     *
     * @param event the event
     */
    public void count(Event event) {
        events.labelValues(event.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts a call to the platform's store.
     *
     * @param purpose what it is for
     * @param kind its kind
     */
    public void storeCall(StoreCalls.Purpose purpose, StoreCalls.Kind kind) {
        storeCalls
                .labelValues(
                        purpose.name().toLowerCase(Locale.ROOT),
                        kind.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /**
     * Records the state of the process.
     *
     * @param policy version of the policy in force
     * @param listed upstreams listed
     * @param heard peers heard lately
     * @param sharing processes that share limits, as this one counts them
     * @param inFlight requests in flight
     * @param leads true while it leads
     * @param opened connections opened since its start
     */
    public void state(
            long policy,
            int listed,
            int heard,
            int sharing,
            int inFlight,
            boolean leads,
            long opened) {
        policyVersion.set((double) policy);
        upstreams.set(listed);
        peers.set(heard);
        members.set(sharing);
        open.set(inFlight);
        leading.set(leads ? 1 : 0);
        connections.set((double) opened);
    }

    /**
     * Records what the list of upstreams is.
     *
     * @param epoch epoch of the store's history; 0 if none is named
     * @param revision the list's revision
     * @param ageMillis time since it was last shown to be current, in milliseconds
     */
    public void upstreamList(long epoch, long revision, long ageMillis) {
        storeEpoch.set((double) epoch);
        listRevision.set((double) revision);
        listAge.set(ageMillis / MILLIS_PER_SECOND);
    }

    /**
     * Records how many entries in the platform's store name no upstream to use.
     *
     * @param count how many
     */
    public void unusableEntries(int count) {
        unusableEntries.set(count);
    }

    /**
     * Sets how many upstreams name a limit.
     *
     * @param count a count
     */
    public void limited(int count) {
        limited.set(count);
    }

    /**
     * Records how many upstreams have asked this process for rest that is not over.
     *
     * @param count how many
     */
    public void backingOff(int count) {
        backingOff.set(count);
    }

    /**
     * Records what is known of requests under which upstreams ended.
     *
     * @param refused how many are refused
     * @param remembered how many are remembered
     */
    public void crashing(int refused, int remembered) {
        refusedRequests.set(refused);
        rememberedRequests.set(remembered);
    }

    /**
     * Records what is believed of a service's upstreams.
     *
     * @param service the service
     * @param estimate what is believed
     */
    public void upstreams(String service, EngineEstimate estimate) {
        readingSpeed.labelValues(service).set(MILLIS_PER_SECOND / estimate.millisPerToken());
        runSeconds.labelValues(service).set(estimate.runMillis() / MILLIS_PER_SECOND);
        observations.labelValues(service).set(estimate.observations());
    }

    private Gauge serviceGauge(String name, String help) {
        return Gauge.builder()
                .withoutExemplars()
                .name(name)
                .help(help)
                .labelNames("service")
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().withoutExemplars().name(name).help(help).register(registry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .withoutExemplars()
                .name(name)
                .help(help)
                .labelNames("organisation", "service")
                .classicUpperBounds(BUCKETS_SECONDS)
                .classicOnly()
                .register(registry);
    }
}
