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
 * The settings of an entry, fixed at its start. The command line validates them.
 *
 * @param dataCentre where the entry runs
 * @param instance the name of the instance in the cloud's notices; empty if it has none
 * @param callerAddress the address that accepts requests of callers
 * @param peerAddress the address that accepts links of peers
 * @param operatorAddress the address that serves operators
 * @param keyValue the address of the platform's key-value service
 * @param cloud the address of the cloud's API
 * @param peers peer addresses of other entries, used to start while the platform is unreachable
 * @param peerKey the key that all entries share
 * @param limits the limits for callers
 * @param claimRetentionMillis how long keys of at-most-once requests are remembered, in
 *     milliseconds
 * @param drainMillis how long a stopping entry waits for requests in flight, in milliseconds
 * @param foreign how requests are treated that may not be handled in this data centre
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
    /** Copies the list of peers. */
    public EntrySettings {
        peers = List.copyOf(peers);
    }

    /**
     * The limits for callers and for the requests they send.
     *
     * @param maxBodyBytes the maximum size of a request body, in bytes
     * @param maxHeaderBytes the maximum size of a request head, in bytes
     * @param maxStreams the maximum number of requests in flight
     * @param callerIdleMillis the idle timeout of a caller that sends or reads, in milliseconds
     * @param queueTimeoutMillis the maximum wait of a request for an upstream, in milliseconds
     * @param upstreamIdleMillis the idle timeout of an upstream, in milliseconds
     * @param reattachMillis how long an answer is still generated after its caller disconnected, in
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
         * Returns how long a request that has not started may wait for an upstream. The wait is
         * limited to a few latency targets, because an answer that late is of no use; the caller is
         * then asked to retry later.
         *
         * @param latencyTargetMillis the latency target of the row, in milliseconds
         * @return the maximum wait, in milliseconds
         */
        public long queueMillis(int latencyTargetMillis) {
            long wait = Math.max(MIN_QUEUE_MILLIS, MAX_QUEUED_TARGETS * latencyTargetMillis);
            return Math.min(queueTimeoutMillis, wait);
        }

        /** The default limits. */
        public static final CallerLimits DEFAULTS =
                new CallerLimits(1 << 20, 16 * 1024, 2_000, 30_000, 20_000, 5_000, 2_000);
    }

    /** How a request is treated whose data may not be handled in this entry's data centre. */
    public enum Foreign {
        /** Its bytes are forwarded without parsing to an entry where it may be handled. */
        RELAY,
        /** The caller is redirected to such an entry before the body is read. */
        REDIRECT
    }
}
