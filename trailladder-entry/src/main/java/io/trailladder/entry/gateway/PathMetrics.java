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

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.trailladder.core.upstream.PathMonitor;

/** The metrics on the paths from this process to the upstreams. */
final class PathMetrics {
    private final Gauge state;

    PathMetrics(PrometheusRegistry registry) {
        state =
                Gauge.builder()
                        .name("trailladder_upstream_paths")
                        .help("1 for what is known of the paths to the upstreams")
                        .labelNames("state")
                        .register(registry);
        changed(PathMonitor.State.DIRECT);
    }

    void changed(PathMonitor.State current) {
        for (PathMonitor.State each : PathMonitor.State.values()) {
            state.labelValues(each.name()).set(each == current ? 1 : 0);
        }
    }
}
