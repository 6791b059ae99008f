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
package io.trailladder.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;

/**
 * The metrics of an entry. Label values come from the table and from enums, so requests cannot
 * create new time series.
 *
 * @since 0.1
 */
public final class EntryMetrics {
    private static final double[] SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 5, 10, 30, 60
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram firstToken =
            histogram("trailladder_first_token_seconds", "Time to the first token");
    private final Histogram betweenTokens =
            histogram("trailladder_between_tokens_seconds", "Time between two tokens");
    private final Histogram wholeRequest =
            histogram("trailladder_request_seconds", "Time to the whole answer");
    private final Histogram queue = histogram("trailladder_queue_seconds", "Wait for an upstream");
    private final Counter outcomes =
            counter(
                    "trailladder_requests_total",
                    "Ended requests",
                    "organisation",
                    "class",
                    "outcome");
    private final Counter events =
            counter("trailladder_events_total", "Events inside the entry", "event");
    private final Counter resumedTokens =
            counter(
                    "trailladder_resumed_tokens_total",
                    "Tokens a request had when it was resumed elsewhere",
                    "way");
    private final Gauge tableRevision =
            Gauge.builder()
                    .name("trailladder_table_revision")
                    .help("Revision of the table in force")
                    .register(registry);
    private final Gauge openRequests =
            Gauge.builder()
                    .name("trailladder_open_requests")
                    .help("Requests in flight")
                    .register(registry);

    /** An event that the entry counts. */
    public enum Event {
        /** A duplicate frame, or a frame of an earlier attempt, was dropped. */
        LATE_FRAME,
        /** A frame of another request was dropped. */
        CROSSED_FRAME,
        /** An attempt failed and the request was sent again. */
        RETRY,
        /** A request was moved because its upstream was leaving. */
        RECLAIM_MOVED,
        /** A request was accepted without a copy at another entry. */
        UNCOPIED,
        /** A request of another entry was resumed here. */
        ADOPTED,
        /** A request was handed over to another entry, which has accepted it. */
        HANDED_OVER,
        /** A successor refused a request, was lost or did not respond, or there was none. */
        HAND_OVER_FAILED,
        /** A resumed request was returned to the entry that still works on it. */
        GIVEN_BACK,
        /** A caller did not read its answer in time. */
        SLOW_CALLER
    }

    /**
     * Returns the registry that is exposed under {@code /metrics}.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return registry;
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
     * Records the time to the first token.
     *
     * @param organisation the organisation
     * @param millis the time, in milliseconds
     */
    public void firstToken(String organisation, long millis) {
        firstToken.labelValues(organisation, "model").observe(millis / 1000.0);
    }

    /**
     * Records the time between two tokens.
     *
     * @param organisation the organisation
     * @param millis the time, in milliseconds
     */
    public void betweenTokens(String organisation, long millis) {
        betweenTokens.labelValues(organisation, "model").observe(millis / 1000.0);
    }

    /**
     * Records the time that a request waited for an upstream.
     *
     * @param organisation the organisation
     * @param kind model or service
     * @param millis the time, in milliseconds
     */
    public void queued(String organisation, String kind, long millis) {
        queue.labelValues(organisation, kind).observe(millis / 1000.0);
    }

    /**
     * Records an ended request.
     *
     * @param organisation the organisation
     * @param kind model or service
     * @param outcome {@code whole}, or the outcome of a failure
     * @param millis the duration of the request, in milliseconds
     */
    public void ended(String organisation, String kind, String outcome, long millis) {
        outcomes.labelValues(organisation, kind, outcome).inc();
        wholeRequest.labelValues(organisation, kind).observe(millis / 1000.0);
    }

    /**
     * Records the tokens that a resumed request had when it was sent to its new upstream.
     *
     * @param imported true if their cache was exported, false if it must be recomputed
     * @param tokens the number of tokens
     */
    public void resumed(boolean imported, int tokens) {
        resumedTokens.labelValues(imported ? "imported" : "recomputed").inc(tokens);
    }

    /**
     * Records the revision of the table in force.
     *
     * @param revision the revision
     */
    public void tableRevision(long revision) {
        tableRevision.set((double) revision);
    }

    /**
     * Records the number of requests in flight.
     *
     * @param count the number of requests
     */
    public void openRequests(int count) {
        openRequests.set(count);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames("organisation", "class")
                .classicUpperBounds(SECONDS)
                .classicOnly()
                .register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
