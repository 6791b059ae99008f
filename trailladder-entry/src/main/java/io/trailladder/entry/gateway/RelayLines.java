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

import com.fasterxml.jackson.core.JsonGenerator;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import io.trailladder.entry.relay.RelayObserver.Usage;
import java.io.IOException;

/** Log lines on connections to upstreams that peers relay. */
final class RelayLines {
    private RelayLines() {}

    /**
     * Log line of the process whose request it is: a peer connected it to an upstream.
     *
     * @param id the request
     * @param upstream the upstream
     * @param peer the peer
     * @param afterMs time that opening the connection took, in milliseconds
     */
    record ReachedThroughPeer(String id, String upstream, String peer, long afterMs)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("upstream", upstream);
            json.writeStringField("peer", peer);
            json.writeNumberField("afterMs", afterMs);
        }
    }

    /**
     * Log line of both processes: a peer did not connect the other one to an upstream.
     *
     * @param id the request
     * @param upstream the upstream
     * @param peer the other process
     * @param asked true at the process that was asked, false at the one that asked
     * @param reason the reason
     */
    record RelayNotOpened(String id, String upstream, String peer, boolean asked, String reason)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("upstream", upstream);
            json.writeStringField("peer", peer);
            json.writeBooleanField("asked", asked);
            json.writeStringField("reason", reason);
        }
    }

    /**
     * Log line of the process that relayed a connection, when it has ended.
     *
     * @param id the request of the peer
     * @param upstream the upstream
     * @param peer the peer
     * @param usage what was relayed
     */
    record RelayedForPeer(String id, String upstream, String peer, Usage usage)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("upstream", upstream);
            json.writeStringField("peer", peer);
            json.writeStringField("end", usage.end().name());
            json.writeNumberField("forMs", usage.millis());
            json.writeNumberField("toUpstream", usage.toUpstream());
            json.writeNumberField("toPeer", usage.toPeer());
        }
    }
}
