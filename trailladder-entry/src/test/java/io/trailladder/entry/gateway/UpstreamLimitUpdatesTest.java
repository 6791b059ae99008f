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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.upstream.LimitNotice;
import io.trailladder.core.upstream.Upstream;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/** How soon limits that one process each has heard of are known to all, over hubs. */
class UpstreamLimitUpdatesTest {
    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES_PER_DATA_CENTRE = 10;
    private static final int LIMITED = 100;

    /** How long the others may not know of a limit, or of its end, in milliseconds. */
    private static final long PROPAGATION_MILLIS = 2_000;

    /** What control may tell a second and process, in bytes. */
    private static final double MAX_BYTES_PER_SECOND = 4_000;

    private final SimulatedCluster cluster = new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE, 10_000);

    private static Upstream upstream(int number) {
        return new Upstream("i-" + number, "s", "dc0", "h:1", 8, false, false, 0, "", 0, 5);
    }

    private void announceLimit(LimitNotice limit, int upstreams) {
        List<String> names = cluster.names();
        for (int i = 0; i < upstreams; i++) {
            SimulatedProcess process = cluster.process(names.get(i % names.size()));
            process.limits().answerReceived(upstream(i), limit, cluster.now() - 1, cluster.now());
            process.sendRequestedDigest();
        }
    }

    private int differing(boolean limited) {
        int differing = 0;
        for (String name : cluster.names()) {
            for (int i = 0; i < LIMITED; i++) {
                boolean known = cluster.process(name).limits().isLimited(upstream(i));
                differing += known == limited ? 0 : 1;
            }
        }
        return differing;
    }

    private void assertAllKnow(boolean limited, long withinMillis) {
        long begun = cluster.now();
        while (differing(limited) > 0 && cluster.now() - begun < withinMillis) {
            cluster.advance(100);
        }
        long took = cluster.now() - begun;
        assertEquals(0, differing(limited), "pairs of process and upstream after " + took + " ms");
    }

    private void assertLearned(long withinMillis, Consumer<SimulatedCluster> trouble) {
        cluster.advance(5_000);
        announceLimit(LimitNotice.of(4), LIMITED);
        trouble.accept(cluster);
        assertAllKnow(true, withinMillis);
        cluster.advance(2_000);
        announceLimit(LimitNotice.ABSENT, LIMITED);
        trouble.accept(cluster);
        assertAllKnow(false, withinMillis);
    }

    @Example
    void limitsAndTheirEndsAreKnownToAllInTime() {
        assertLearned(PROPAGATION_MILLIS, all -> {});
    }

    @Example
    void dataCentreThatWasCutOffLearnsTheLimitsAfterwards() {
        Set<String> cutOff = new HashSet<>(cluster.namesOf("dc1"));
        assertLearned(
                15_000,
                all -> {
                    all.cut((one, other) -> cutOff.contains(one) != cutOff.contains(other));
                    all.advance(5_500);
                    all.cut((one, other) -> false);
                });
    }

    @Example
    void processThatStartsLaterLearnsTheLimits() {
        cluster.advance(5_000);
        announceLimit(LimitNotice.of(4), LIMITED);
        cluster.advance(10_000);
        String last = cluster.names().get(cluster.names().size() - 1);
        cluster.kill(last);
        cluster.advance(3_000);
        cluster.restart(last);
        assertEquals(LIMITED, differing(true), "it knows nothing at first");
        assertAllKnow(true, 3_000);
    }

    @Example
    void limitReportsAddLittleTraffic() {
        cluster.advance(5_000);
        announceLimit(LimitNotice.of(4), LIMITED);
        cluster.advance(5_000);
        long bytes = cluster.bytes();
        cluster.advance(10_000);
        double each = (cluster.bytes() - bytes) / (10.0 * cluster.names().size());
        assertTrue(each <= MAX_BYTES_PER_SECOND, each + " bytes a second and process");
    }
}
