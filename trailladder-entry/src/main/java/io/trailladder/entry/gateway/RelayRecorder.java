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

import io.trailladder.entry.gateway.RelayLines.ReachedThroughPeer;
import io.trailladder.entry.gateway.RelayLines.RelayNotOpened;
import io.trailladder.entry.gateway.RelayLines.RelayedForPeer;
import io.trailladder.entry.relay.RelayObserver;
import io.trailladder.entry.relay.RelayRefusal;

/** Writes what happens to relayed connections to the log and the metrics. */
final class RelayRecorder implements RelayObserver {
    private final PathMetrics metrics;

    RelayRecorder(PathMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void reached(String requestId, String upstream, String peer, long afterMillis) {
        metrics.reachedThroughPeer();
        DecisionLog.write(new ReachedThroughPeer(requestId, upstream, peer, afterMillis));
    }

    @Override
    public void notReached(String requestId, String upstream, String peer, RelayRefusal reason) {
        metrics.notReachedThroughPeer(reason);
        DecisionLog.write(new RelayNotOpened(requestId, upstream, peer, false, reason.name()));
    }

    @Override
    public void refused(String requestId, String upstream, String peer, RelayRefusal reason) {
        metrics.refusedToRelay(reason);
        DecisionLog.write(new RelayNotOpened(requestId, upstream, peer, true, reason.name()));
    }

    @Override
    public void relayed(String requestId, String upstream, String peer, Usage usage) {
        metrics.relayed(usage);
        DecisionLog.write(new RelayedForPeer(requestId, upstream, peer, usage));
    }
}
