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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.upstream.BrittleUpstreams;
import io.trailladder.core.upstream.BrittleUpstreams.Statement;
import io.trailladder.core.upstream.SendSlotOrder;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class BrittlePartTest {
    private static final long NOW = 50_000;

    private static BrittleUpstreams upstreams(long nowMillis) {
        return new BrittleUpstreams(
                new UpstreamLoads(),
                () -> nowMillis,
                () -> nowMillis,
                upstream -> SendSlotOrder.NO_SHARE);
    }

    private static Optional<DigestSection> write(BrittleUpstreams brittle) {
        return new BrittlePart(brittle).write(DigestScope.OWN, List.of(), NOW);
    }

    /** Guards against a process that learns of a brittle upstream only when it refuses. */
    @Example
    void statementsArePassedOnWithTheirAge() throws IOException {
        BrittleUpstreams told = upstreams(NOW);
        told.apply(new Statement("w1", 7, 5, NOW - 300));
        told.apply(new Statement("w2", 0, 0, NOW - 10));
        BrittleUpstreams other = upstreams(9_000);
        new BrittlePart(other).received("p", write(told).orElseThrow(), 9_000);
        assertEquals(
                List.of(new Statement("w1", 7, 5, 8_700), new Statement("w2", 0, 0, 8_990)),
                other.statements());
    }

    @Example
    void nothingIsSentAtRest() {
        assertTrue(write(upstreams(NOW)).isEmpty());
    }

    @Property(tries = 2_000, seed = "20261203")
    void invalidBytesAreRefused(@ForAll @Size(max = 64) byte[] body) {
        BrittleUpstreams brittle = upstreams(NOW);
        DigestSection section = new DigestSection("brittle", 1, 0, body);
        try {
            new BrittlePart(brittle).received("p", section, NOW);
        } catch (IOException e) {
            assertTrue(brittle.isEmpty());
        }
    }

    @Example
    void impossibleNumbersAreRefused() {
        for (double perSecond : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            BrittleUpstreams told = upstreams(NOW);
            told.apply(new Statement("w1", 7, perSecond, NOW));
            DigestSection section = write(told).orElseThrow();
            BrittleUpstreams other = upstreams(NOW);
            assertThrows(
                    IOException.class, () -> new BrittlePart(other).received("p", section, NOW));
        }
    }
}
