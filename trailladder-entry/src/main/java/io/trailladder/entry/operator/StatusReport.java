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
package io.trailladder.entry.operator;

import java.util.List;

/**
 * The status of an entry, served to operators as JSON under {@code /status}.
 *
 * @param entry the name of the entry
 * @param dataCentre the data centre of the entry
 * @param tableRevision the revision of the table in force
 * @param draining whether the entry is stopping
 * @param openRequests the number of requests in flight
 * @param relayed the number of requests forwarded to other entries
 * @param copies the number of request copies stored for other entries
 * @param claims the number of claims stored
 * @param ownedRanges the number of key ranges that the entry owns
 * @param platformAgeMillis the time since the platform last answered, in milliseconds; -1 if never
 * @param peers the live peers
 * @param upstreams the upstreams of its data centre
 * @since 0.1
 */
public record StatusReport(
        String entry,
        String dataCentre,
        long tableRevision,
        boolean draining,
        int openRequests,
        int relayed,
        int copies,
        int claims,
        int ownedRanges,
        long platformAgeMillis,
        List<Peer> peers,
        List<UpstreamLine> upstreams) {
    /**
     * One live peer.
     *
     * @param entry the name of the peer
     * @param dataCentre the data centre of the peer
     * @param tableRevision the table revision in its last heartbeat; 0 before the first one
     */
    public record Peer(String entry, String dataCentre, long tableRevision) {}

    /**
     * One upstream.
     *
     * @param id the name of the upstream
     * @param target the model or service that it serves
     * @param leaving whether it is leaving and gets no new requests
     */
    public record UpstreamLine(String id, String target, boolean leaving) {}
}
