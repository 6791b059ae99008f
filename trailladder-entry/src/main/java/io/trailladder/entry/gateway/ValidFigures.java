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

/**
 * Removes invalid figures from the digests of peers, so that they do not distort the models of this
 * process.
 */
final class ValidFigures {
    private ValidFigures() {}

    /**
     * Returns a digest with the valid figures only; the removed ones are logged in one line.
     *
     * @param peer the peer that sent it
     * @param digest the digest as received
     * @return the digest itself if all its figures are valid
     */
    static NodeDigest of(String peer, NodeDigest digest) {
        if (digest.demands().isEmpty() && digest.evidence().isEmpty()) {
            return digest;
        }
        List<ServiceDemand> demands =
                digest.demands().stream().filter(ServiceDemand::isValid).toList();
        List<EngineEvidence> evidence =
                digest.evidence().stream().filter(EngineEvidence::isValid).toList();
        int received = digest.demands().size() + digest.evidence().size();
        int refused = received - demands.size() - evidence.size();
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
