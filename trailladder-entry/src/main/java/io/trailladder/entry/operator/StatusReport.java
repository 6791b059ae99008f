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
 * What an entry tells operators of itself, as JSON under {@code /status}.
 *
 * @param entry its name
 * @param dataCentre where it runs
 * @param tableRevision revision of the table in force
 * @param draining true if it is stopping
 * @param openRequests requests in flight
 * @param relayed requests passed to other entries
 * @param copies copies kept for other entries
 * @param claims claims kept
 * @param ownedRanges ranges of keys it owns
 * @param platformAgeMillis time since the platform last answered; -1 if never
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
     * @param entry its name
     * @param dataCentre where it runs
     * @param tableRevision its revision, by its last heartbeat
     */
    public record Peer(String entry, String dataCentre, long tableRevision) {}

    /**
     * One upstream.
     *
     * @param id its name
     * @param target model or service
     * @param leaving true if it gets no new work
     */
    public record UpstreamLine(String id, String target, boolean leaving) {}
}
