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
import static org.junit.jupiter.api.Assertions.assertSame;

import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.engine.FitSums;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.util.List;
import net.jqwik.api.Example;

class ValidFiguresTest {
    private static final EngineEvidence VALID = EngineEvidence.none("s");

    private static NodeDigest digest(List<ServiceDemand> demands, List<EngineEvidence> evidence) {
        return new NodeDigest(
                1,
                2,
                true,
                false,
                DigestScope.OWN,
                1,
                1,
                List.of(),
                List.of(),
                List.of(),
                demands,
                evidence,
                List.of("left"),
                List.of());
    }

    @Example
    void validDigestIsReturnedUnchanged() {
        NodeDigest digest = digest(List.of(new ServiceDemand("s", 1, 2)), List.of(VALID));
        assertSame(digest, ValidFigures.of("peer", digest));
    }

    @Example
    void invalidFiguresAreRemovedAndTheOthersKept() {
        FitSums absurd = new FitSums(1, Double.NaN, 1, 1, 1);
        List<ServiceDemand> demands =
                List.of(
                        new ServiceDemand("negative", -1, 2),
                        new ServiceDemand("infinite", Double.POSITIVE_INFINITY, 2),
                        new ServiceDemand("s", 1, 2));
        List<EngineEvidence> evidence =
                List.of(VALID, new EngineEvidence("bad", absurd, FitSums.NONE, 1, 1));
        NodeDigest sound = ValidFigures.of("peer", digest(demands, evidence));
        assertEquals(List.of(new ServiceDemand("s", 1, 2)), sound.demands());
        assertEquals(List.of(VALID), sound.evidence());
        assertEquals(List.of("left"), sound.leaving());
    }
}
