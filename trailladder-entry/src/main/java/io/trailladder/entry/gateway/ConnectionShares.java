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
 * Shares the connections that an upstream accepts from all processes together. Those that work are
 * bounded by its places; what is left is shared out evenly among those that rest. Beyond its bound
 * an upstream resets connections, also those of processes that have none yet.
 */
final class ConnectionShares {
    private final PolicyManager policies;
    private final IntSupplier processes;

    /**
     * Creates shares.
     *
     * @param policies tells what services accept
     * @param processes how many processes there are, this one included
     */
    ConnectionShares(PolicyManager policies, IntSupplier processes) {
        this.policies = policies;
        this.processes = processes;
    }

    /**
     * Returns how many connections to an upstream may rest between calls.
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
                ? OutgoingCall.MOST_RESTING
                : share(accepted - upstream.slots(), processes.getAsInt());
    }

    static int share(int connections, int processes) {
        int even = connections / Math.max(1, processes);
        return Math.max(1, Math.min(OutgoingCall.MOST_RESTING, even));
    }
}
