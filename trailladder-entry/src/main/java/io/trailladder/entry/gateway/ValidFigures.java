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

import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.util.List;

/** Leaves figures of peers out that cannot be true, so that they spoil nobody's model. */
final class ValidFigures {
    private ValidFigures() {}

    /**
     * Returns a digest with the figures that can be true; one line tells of those that cannot.
     *
     * @param peer who sent it
     * @param digest the digest as it came
     * @return the digest itself if all its figures are sound
     */
    static NodeDigest of(String peer, NodeDigest digest) {
        if (digest.demands().isEmpty() && digest.evidence().isEmpty()) {
            return digest;
        }
        List<ServiceDemand> demands =
                digest.demands().stream().filter(ServiceDemand::isValid).toList();
        List<EngineEvidence> evidence =
                digest.evidence().stream().filter(EngineEvidence::isValid).toList();
        int told = digest.demands().size() + digest.evidence().size();
        int refused = told - demands.size() - evidence.size();
        if (refused == 0) {
            return digest;
        }
        DecisionLog.write(
                new Lifecycle(
                        "peer " + peer,
                        "figures refused",
                        refused + " of " + digest.demands() + ' ' + digest.evidence()));
        return digest.withFigures(demands, evidence);
    }
}
