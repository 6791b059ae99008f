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

import io.trailladder.core.policy.ServiceSpec;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.http.OutgoingCall;
import java.util.function.IntSupplier;

/**
 * Divides the connections that an upstream accepts from all processes together. Busy connections
 * are bounded by the upstream's slots; the remaining ones are divided evenly among the processes as
 * idle connections. Beyond its bound an upstream resets connections, including those of processes
 * that have none yet.
 */
final class ConnectionShares {
    private final PolicyManager policies;
    private final IntSupplier processes;

    /**
     * Creates shares.
     *
     * @param policies returns how many connections services accept
     * @param processes returns the number of processes, this one included; 0 if it is not known
     */
    ConnectionShares(PolicyManager policies, IntSupplier processes) {
        this.policies = policies;
        this.processes = processes;
    }

    /**
     * Returns how many connections to an upstream may stay open between calls.
     *
     * @param service the service
     * @param upstream one of its upstreams
     * @return at least 1
     */
    int maxIdle(String service, Upstream upstream) {
        int accepted =
                policies.policy()
                        .flatMap(policy -> policy.service(service))
                        .map(ServiceSpec::maxConnections)
                        .orElse(0);
        return accepted <= 0
                ? OutgoingCall.MAX_IDLE_CONNECTIONS
                : share(accepted - upstream.slots(), processes.getAsInt());
    }

    static int share(int connections, int processes) {
        int evenShare = processes > 0 ? connections / processes : 0;
        return Math.max(1, Math.min(OutgoingCall.MAX_IDLE_CONNECTIONS, evenShare));
    }
}
