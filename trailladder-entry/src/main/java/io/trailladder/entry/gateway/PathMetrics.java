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
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.entry.relay.RelayObserver.Usage;
import io.trailladder.entry.relay.RelayRefusal;

/** The metrics on the paths from this process to the upstreams, and on relayed connections. */
final class PathMetrics {
    private static final String OPENED = "opened";

    private final Gauge state;
    private final Gauge open;
    private final Counter used;
    private final Counter served;
    private final Counter bytes;

    PathMetrics(PrometheusRegistry registry) {
        state =
                Gauge.builder()
                        .name("trailladder_upstream_paths")
                        .help("1 for what is known of the paths to the upstreams")
                        .labelNames("state")
                        .register(registry);
        open =
                Gauge.builder()
                        .name("trailladder_relays_open")
                        .help("Connections to upstreams that this process relays for peers")
                        .register(registry);
        used =
                counter(
                        registry,
                        "trailladder_relays_used_total",
                        "Connections to upstreams asked of peers, by result",
                        "result");
        served =
                counter(
                        registry,
                        "trailladder_relays_served_total",
                        "Connections to upstreams that peers asked for, by result",
                        "result");
        bytes =
                counter(
                        registry,
                        "trailladder_relayed_bytes_total",
                        "Bytes relayed for peers, by receiver",
                        "receiver");
        changed(PathMonitor.State.DIRECT);
    }

    private static Counter counter(
            PrometheusRegistry registry, String name, String help, String label) {
        return Counter.builder()
                .withoutExemplars()
                .name(name)
                .help(help)
                .labelNames(label)
                .register(registry);
    }

    void changed(PathMonitor.State current) {
        for (PathMonitor.State each : PathMonitor.State.values()) {
            state.labelValues(each.name()).set(each == current ? 1 : 0);
        }
    }

    void openRelays(int count) {
        open.set(count);
    }

    void reachedThroughPeer() {
        used.labelValues(OPENED).inc();
    }

    void notReachedThroughPeer(RelayRefusal reason) {
        used.labelValues(reason.name()).inc();
    }

    void refusedToRelay(RelayRefusal reason) {
        served.labelValues(reason.name()).inc();
    }

    void relayed(Usage usage) {
        served.labelValues(usage.end().name()).inc();
        bytes.labelValues("upstream").inc((double) usage.toUpstream());
        bytes.labelValues("peer").inc((double) usage.toPeer());
    }
}
