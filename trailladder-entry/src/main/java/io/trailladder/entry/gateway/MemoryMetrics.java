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
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryLevel;
import java.util.Locale;

/**
 * The metrics of the memory that a process reserves for callers and upstreams.
 *
 * @since 0.2
 */
public final class MemoryMetrics {
    private final Gauge reserved;
    private final Gauge peak;
    private final Gauge budget;
    private final Gauge level;
    private final Gauge connections;
    private final Counter answerCut;
    private final Counter requestRefused;

    /**
     * Creates and registers the metrics.
     *
     * @param registry the registry that exposes them
     */
    public MemoryMetrics(PrometheusRegistry registry) {
        reserved =
                Gauge.builder()
                        .name("trailladder_held_bytes")
                        .help("Bytes reserved for callers and upstreams by kind")
                        .labelNames("kind")
                        .register(registry);
        peak =
                Gauge.builder()
                        .name("trailladder_held_peak_bytes")
                        .help("Maximum of reserved bytes since the start")
                        .register(registry);
        budget =
                Gauge.builder()
                        .name("trailladder_held_budget_bytes")
                        .help("Bytes that may be reserved")
                        .register(registry);
        level =
                Gauge.builder()
                        .name("trailladder_memory_level")
                        .help("1 for the current memory level, 0 for others")
                        .labelNames("level")
                        .register(registry);
        connections =
                Gauge.builder()
                        .name("trailladder_connections_refused")
                        .help("Caller connections closed unread because all others were busy")
                        .register(registry);
        answerCut =
                Counter.builder()
                        .name("trailladder_answers_cut_total")
                        .help("Answers ended because their callers did not read them, by reason")
                        .labelNames("reason")
                        .register(registry);
        requestRefused =
                Counter.builder()
                        .name("trailladder_refused_no_room_total")
                        .help("Requests refused before they ran for lack of memory")
                        .register(registry);
    }

    /**
     * Counts an answer that was ended early.
     *
     * @param reason why it was ended
     */
    public void answerCut(MemoryManager.CutReason reason) {
        answerCut.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Counts a request that was refused for lack of memory. */
    public void requestRefused() {
        requestRefused.inc();
    }

    /**
     * Records the current state.
     *
     * @param account the account of reserved bytes
     * @param refusedConnections number of connections closed unread since the start
     */
    public void state(MemoryAccount account, long refusedConnections) {
        connections.set((double) refusedConnections);
        for (ReservationKind kind : ReservationKind.values()) {
            reserved.labelValues(kind.name().toLowerCase(Locale.ROOT))
                    .set((double) account.reserved(kind));
        }
        for (MemoryLevel candidate : MemoryLevel.values()) {
            level.labelValues(candidate.name().toLowerCase(Locale.ROOT))
                    .set(candidate == account.level() ? 1 : 0);
        }
        peak.set((double) account.peak());
        budget.set((double) account.budget().bytes());
    }
}
