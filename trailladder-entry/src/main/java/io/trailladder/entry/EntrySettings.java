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
package io.trailladder.entry;

import io.trailladder.platform.http.HostPort;
import java.util.List;

/**
 * All that an entry is told when it starts. The command line checks it.
 *
 * @param dataCentre where the entry runs
 * @param instance the instance's name in the cloud's notices; empty if it has none
 * @param callerAddress where it takes callers' requests
 * @param peerAddress where it takes peer links
 * @param operatorAddress where it answers operators
 * @param keyValue the platform's key-value service
 * @param cloud the cloud's API
 * @param peers peer addresses of other entries, for a start while the platform is down
 * @param peerKey the key all entries share
 * @param limits bounds of what callers may do
 * @param claimRetentionMillis how long keys of at-most-once requests are remembered, in
 *     milliseconds
 * @param drainMillis how long a stopping entry waits for requests in flight, in milliseconds
 * @param foreign what becomes of requests that may not be handled here
 * @since 0.1
 */
public record EntrySettings(
        String dataCentre,
        String instance,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort operatorAddress,
        HostPort keyValue,
        HostPort cloud,
        List<String> peers,
        byte[] peerKey,
        CallerLimits limits,
        long claimRetentionMillis,
        long drainMillis,
        Foreign foreign) {
    /** Copies the list. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * Bounds what callers may do.
     *
     * @param maxBodyBytes largest request body
     * @param maxHeaderBytes largest request head
     * @param maxStreams requests in flight at once
     * @param callerIdleMillis longest silence of a caller that sends or reads, in milliseconds
     * @param patienceMillis how long a request may wait for an upstream, in milliseconds
     * @param upstreamIdleMillis longest silence of an upstream, in milliseconds
     * @param reattachMillis how long an answer is generated on after its caller is gone, in
     *     milliseconds
     */
    public record CallerLimits(
            int maxBodyBytes,
            int maxHeaderBytes,
            int maxStreams,
            long callerIdleMillis,
            long queueTimeoutMillis,
            long upstreamIdleMillis,
            long reattachMillis) {
        private static final long MIN_QUEUE_MILLIS = 2_000;
        private static final long MAX_QUEUED_TARGETS = 4;

        /**
         * Returns how long a request that was not yet begun may wait. A wait of several latency
         * targets helps nobody: the caller is told to come back instead.
         *
         * @param latencyTargetMillis the row's target, in milliseconds
         * @return milliseconds
         */
        public long queueMillis(int latencyTargetMillis) {
            long wait = Math.max(MIN_QUEUE_MILLIS, MAX_QUEUED_TARGETS * latencyTargetMillis);
            return Math.min(queueTimeoutMillis, wait);
        }

        /** The bounds unless settings say otherwise. */
        public static final CallerLimits DEFAULTS =
                new CallerLimits(1 << 20, 16 * 1024, 2_000, 30_000, 20_000, 5_000, 2_000);
    }

    /** What becomes of a request whose data may not be handled in this entry's data centre. */
    public enum Foreign {
        /** Its bytes are passed unread to an entry where it may be handled. */
        RELAY,
        /** The caller is told to ask an entry there, before its body is read. */
        REDIRECT
    }
}
