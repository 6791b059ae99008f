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
 * The metrics of a gateway process. Label values come from the policy and from enums, so callers
 * cannot add time series.
 *
 * <p>Exemplars are disabled: nobody reads them, and they would need a thread of their own that
 * wakes about five times a second.
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
                    .help("Answers of both versions during roll-outs by result")
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
    private final Counter limitUnits =
            Counter.builder()
                    .withoutExemplars()
                    .name("trailladder_limit_units_total")
                    .help("Units admitted within limits of organisations, by what was known")
                    .labelNames("basis")
                    .register(registry);
    private final Histogram firstAnswer =
            histogram("trailladder_first_answer_seconds", "Time to the first byte of the answer");
    private final Histogram completeAnswer =
            histogram("trailladder_request_seconds", "Time to the complete answer");
    private final Gauge policyVersion = gauge("trailladder_policy_version", "Policy in force");
    private final Gauge upstreams = gauge("trailladder_upstreams", "Upstreams listed");
    private final Gauge storeEpoch =
            gauge("trailladder_store_epoch", "Epoch of the store's history; 0 if none is named");
    private final Gauge listRevision =
            gauge("trailladder_upstream_list_revision", "Revision of the list of upstreams");
    private final Gauge listAge =
            gauge(
                    "trailladder_upstream_list_age_seconds",
                    "Time since the store or a peer last confirmed that the list is current");
    private final Gauge peers =
            gauge("trailladder_peers_heard", "Peers from which digests were received lately");
    private final Gauge members =
            gauge("trailladder_processes", "Processes that share limits, as this one counts them");
    private final Gauge open = gauge("trailladder_open_requests", "Requests in flight");
    private final Gauge leading = gauge("trailladder_leading", "1 while this process leads");
    private final Gauge connections =
            gauge("trailladder_connections_opened", "Connections opened to servers");

    private final Gauge unusableEntries =
            gauge(
                    "trailladder_upstream_entries_unusable",
                    "Entries in the platform's store that describe no usable upstream");

    private final Gauge limited =
            gauge("trailladder_upstreams_limited", "Upstreams that announce a request limit");
    private final Gauge brittle =
            gauge("trailladder_upstreams_brittle", "Upstreams that bear few refusals");
    private final Gauge backingOff =
            gauge(
                    "trailladder_upstreams_resting",
                    "Upstreams that requested a back-off from this process");

    private final Gauge refusedRequests =
            gauge(
                    "trailladder_crashing_requests",
                    "Requests refused because upstreams ended while running them");
    private final Gauge rememberedRequests =
            gauge(
                    "trailladder_crash_suspects",
                    "Requests remembered because upstreams ended while running them");

    private final Gauge readingSpeed =
            serviceGauge(
                    "trailladder_upstream_tokens_per_second",
                    "Estimated prompt tokens that an upstream reads per second");
    private final Gauge runSeconds =
            serviceGauge(
                    "trailladder_upstream_run_seconds",
                    "Estimated time that a request takes at an upstream");
    private final Gauge observations =
            serviceGauge(
                    "trailladder_upstream_observations",
                    "Answers behind the estimates for upstreams; older ones count less");

    /** The events inside the process that are counted. */
    public enum Event {
        /** A connection brought an answer that is not shown to be the answer to its request. */
        FOREIGN_ANSWER,
        /** The store did not answer, or refused a call. */
        STORE_FAILURE,
        /** A peer reported a newer policy than the store did. */
        POLICY_FROM_PEER,
        /** A second attempt was not made because the budget was used up. */
        RETRY_BUDGET_EMPTY,
        /** A stream was not resumed because the version that began it is not known. */
        STREAM_VERSION_UNKNOWN,
        /** A stream was not resumed because the list of upstreams may be outdated. */
        STREAM_LIST_OUTDATED,
        /** A stream was not resumed because no upstream of its version takes requests. */
        STREAM_VERSION_NOT_SERVED,
        /** A stream was not resumed because its route does not allow that. */
        STREAM_NOT_RESUMABLE,
        /** An answer ended in a way that its framing does not show to be a failure, incomplete. */
        ANSWER_INCOMPLETE,
        /** An answer did not continue the stream that its caller has. */
        ANSWER_OUT_OF_ORDER,
        /**
         * An upstream sent bytes that complete nothing for longer, or more of them, than allowed.
         */
        ANSWER_WITHOUT_PROGRESS,
        /** A usage report or an order was not accepted. */
        DUTY_FAILURE,
        /** A request was sent to another region. */
        SENT_TO_OTHER_REGION,
        /** A request was not sent because upstreams ended while running it before. */
        REFUSED_AS_CRASHING,
        /** An answer was the first report that its upstream is leaving. */
        UPSTREAM_SAID_IT_LEAVES,
        /** An upstream without a back-off in force requested one from this process. */
        UPSTREAM_ASKED_FOR_REST,
        /**
         * An answer announced a new or changed limit of its upstream, or that the limit has ended.
         */
        UPSTREAM_CHANGED_ITS_LIMIT,
        /** An answer announced, changed or withdrew how many refusals its upstream bears. */
        UPSTREAM_CHANGED_ITS_BRITTLENESS,
        /** What an answer reported about its upstream could not be parsed. */
        UPSTREAM_NOTICE_UNREADABLE,
        /** A request was not sent because its upstream has reported that it takes no more. */
        SENDING_WITHHELD,
        /** The store or a peer reported a later epoch of the store's history than before. */
        STORE_EPOCH_CHANGED,
        /** An earlier or an impossible epoch of the store's history was reported, and ignored. */
        STORE_EPOCH_PASSED_OVER,
        /**
         * A peer reported a change of an upstream that is older than the list here, and is ignored.
         */
        UPSTREAM_NEWS_PASSED_OVER
    }

    /**
     * Returns the registry that exposes the metrics.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Records the end of a request.
     *
     * @param organisation the organisation of the request; empty if none
     * @param service the service; empty if none was selected
     * @param outcome how the request ended
     * @param millis duration of the request, in milliseconds
     */
    public void requestEnded(String organisation, String service, String outcome, long millis) {
        requests.labelValues(organisation, service, outcome).inc();
        completeAnswer.labelValues(organisation, service).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records the first byte of an answer.
     *
     * @param organisation the organisation of the request; empty if none
     * @param service the service
     * @param millis time since the request was accepted, in milliseconds
     */
    public void firstAnswer(String organisation, String service, long millis) {
        firstAnswer.labelValues(organisation, service).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts the result of an attempt.
     *
     * @param service the service
     * @param result how the attempt ended
     */
    public void attempt(String service, String result) {
        attempts.labelValues(service, result).inc();
    }

    /**
     * Counts an answer during a roll-out.
     *
     * @param service the service
     * @param version the version of the upstream that gave it
     * @param sort how the answer counts for the version
     */
    public void versionAnswered(String service, String version, AnswerRating sort) {
        versionAnswers.labelValues(service, version, sort.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts units of limits of organisations.
     *
     * @param basis what this process knew of the others when it admitted them, or {@code
     *     furtherTries} for units that were sent to an upstream once more
     * @param units the units
     */
    public void limitUnits(String basis, double units) {
        limitUnits.labelValues(basis).inc(units);
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
     * @param purpose the purpose of the call
     * @param kind the kind of call
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
     * @param listed number of upstreams listed
     * @param receivedFrom number of peers from which digests were received lately
     * @param sharing number of processes that share limits, as this one counts them
     * @param inFlight number of requests in flight
     * @param leads true while this process leads
     * @param opened number of connections opened since the start
     */
    public void state(
            long policy,
            int listed,
            int receivedFrom,
            int sharing,
            int inFlight,
            boolean leads,
            long opened) {
        policyVersion.set((double) policy);
        upstreams.set(listed);
        peers.set(receivedFrom);
        members.set(sharing);
        open.set(inFlight);
        leading.set(leads ? 1 : 0);
        connections.set((double) opened);
    }

    /**
     * Records the state of the list of upstreams.
     *
     * @param epoch epoch of the store's history; 0 if the store reports none
     * @param revision revision of the list
     * @param ageMillis time since the list was last confirmed as current, in milliseconds
     */
    public void upstreamList(long epoch, long revision, long ageMillis) {
        storeEpoch.set((double) epoch);
        listRevision.set((double) revision);
        listAge.set(ageMillis / MILLIS_PER_SECOND);
    }

    /**
     * Records the number of entries in the platform's store that describe no usable upstream.
     *
     * @param count the number of entries
     */
    public void unusableEntries(int count) {
        unusableEntries.set(count);
    }

    /**
     * Records the number of upstreams that announce a limit.
     *
     * @param count the number of upstreams
     */
    public void limited(int count) {
        limited.set(count);
    }

    /**
     * Records the number of upstreams that end if they must refuse too many requests.
     *
     * @param count the number of upstreams
     */
    public void brittle(int count) {
        brittle.set(count);
    }

    /**
     * Records the number of upstreams with a back-off in force at this process.
     *
     * @param count the number of upstreams
     */
    public void backingOff(int count) {
        backingOff.set(count);
    }

    /**
     * Records the numbers of requests that upstreams ended while running.
     *
     * @param refused number of requests that are refused
     * @param remembered number of requests that are remembered
     */
    public void crashing(int refused, int remembered) {
        refusedRequests.set(refused);
        rememberedRequests.set(remembered);
    }

    /**
     * Records the estimates for the upstreams of a service.
     *
     * @param service the service
     * @param estimate the estimates
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
