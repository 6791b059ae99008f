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
 * The figures of a process where there are several regions.
 *
 * @since 0.4
 */
public final class RegionMetrics {
    /** Told as the age of a region that is not heard. */
    private static final double NOT_RECEIVED = -1;

    private final Gauge sent;
    private final Gauge age;
    private final Gauge represents;

    /**
     * Creates the figures.
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
                        .help("Age of what another region told; -1 if it is not heard")
                        .labelNames("region")
                        .register(registry);
        represents =
                Gauge.builder()
                        .name("trailladder_region_speaks")
                        .help("1 if this process tells other regions of its own one")
                        .register(registry);
    }

    /**
     * Records what is known.
     *
     * @param sentBytes tells the bytes sent by distance
     * @param ages age of what each other region told, in milliseconds; regions not heard are left
     *     out
     * @param regions all other regions
     * @param speaking true if this process speaks for its own
     */
    public void update(
            ToLongFunction<Distance> sentBytes,
            Map<String, Long> ages,
            Iterable<String> regions,
            boolean speaking) {
        for (Distance distance : Distance.values()) {
            sent.labelValues(distance.name().toLowerCase(Locale.ROOT))
                    .set((double) sentBytes.applyAsLong(distance));
        }
        for (String region : regions) {
            Long known = ages.get(region);
            age.labelValues(region).set(known == null ? NOT_RECEIVED : known.doubleValue());
        }
        represents.set(speaking ? 1 : 0);
    }
}
