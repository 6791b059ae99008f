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
import io.trailladder.core.topology.Distance;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Metrics of a process in a deployment with several regions.
 *
 * @since 0.4
 */
public final class RegionMetrics {
    /** Value of the age of a region whose digests are not being received. */
    private static final double NOT_RECEIVED = -1;

    private final Gauge sent;
    private final Gauge age;
    private final Gauge represents;

    /**
     * Creates and registers the metrics.
     *
     * @param registry where they are exposed
     */
    public RegionMetrics(PrometheusRegistry registry) {
        sent =
                Gauge.builder()
                        .name("trailladder_peer_sent_bytes")
                        .help("Bytes sent to other processes since the start, by distance")
                        .labelNames("distance")
                        .register(registry);
        age =
                Gauge.builder()
                        .name("trailladder_region_age_milliseconds")
                        .help("Age of the last digest of another region; -1 if none is received")
                        .labelNames("region")
                        .register(registry);
        represents =
                Gauge.builder()
                        .name("trailladder_region_speaks")
                        .help("1 if this process represents its region to other regions")
                        .register(registry);
    }

    /**
     * Sets the current values.
     *
     * @param sentBytes returns the bytes sent by distance
     * @param ages age of the last digest of each other region, in milliseconds; regions whose
     *     digests are not received are left out
     * @param regions all other regions
     * @param representative true if this process represents its own region
     */
    public void update(
            ToLongFunction<Distance> sentBytes,
            Map<String, Long> ages,
            Iterable<String> regions,
            boolean representative) {
        for (Distance distance : Distance.values()) {
            sent.labelValues(distance.name().toLowerCase(Locale.ROOT))
                    .set((double) sentBytes.applyAsLong(distance));
        }
        for (String region : regions) {
            Long known = ages.get(region);
            age.labelValues(region).set(known == null ? NOT_RECEIVED : known.doubleValue());
        }
        represents.set(representative ? 1 : 0);
    }
}
