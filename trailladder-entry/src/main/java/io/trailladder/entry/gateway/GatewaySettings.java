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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.platform.http.HostPort;
import java.util.List;
import java.util.Map;

/**
 * The settings of a gateway process, read when it starts and again when they change.
 *
 * @param node identity and place of the process
 * @param listen addresses on which it listens
 * @param seeds addresses of peers, which may be stale
 * @param store address of the platform's store
 * @param cloud address of the platform's API for duties
 * @param retries bounds of retries
 * @param tolerance how far organisations' limits may be exceeded
 * @param rollouts bounds of requests to a version under test
 * @param timing time limits
 * @param limits resources that the process may use
 * @param regions the region of each data centre
 * @param notes remarks on options that were missing or ignored, to be logged
 * @since 0.2
 */
public record GatewaySettings(
        Node node,
        Listen listen,
        List<HostPort> seeds,
        HostPort store,
        HostPort cloud,
        Retries retries,
        Tolerance tolerance,
        Rollouts rollouts,
        Timing timing,
        Limits limits,
        Regions regions,
        List<String> notes) {
    /** Number of processor cores assumed if the settings state none. */
    public static final double DEFAULT_CORES = 1;

    /** Bandwidth assumed if the settings state none, in megabits per second. */
    public static final double DEFAULT_LINK_MBPS = 1_000;

    /** Creates settings with copies of the lists. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        notes = List.copyOf(notes);
    }

    /**
     * Creates settings of a single region without known resource limits.
     *
     * @param node identity and place of the process
     * @param listen addresses on which it listens
     * @param seeds addresses of peers, which may be stale
     * @param store address of the platform's store
     * @param cloud address of the platform's API for duties
     * @param retries bounds of retries
     * @param tolerance how far organisations' limits may be exceeded
     * @param rollouts bounds of requests to a version under test
     * @param timing time limits
     */
    public GatewaySettings(
            Node node,
            Listen listen,
            List<HostPort> seeds,
            HostPort store,
            HostPort cloud,
            Retries retries,
            Tolerance tolerance,
            Rollouts rollouts,
            Timing timing) {
        this(
                node,
                listen,
                seeds,
                store,
                cloud,
                retries,
                tolerance,
                rollouts,
                timing,
                Limits.UNKNOWN,
                Regions.ONE,
                List.of());
    }

    /**
     * Returns the entry under which this process registers with the others.
     *
     * @return the entry
     */
    public GatewayMember self() {
        return new GatewayMember(
                node.name(),
                node.dataCentre(),
                listen.peers().toString(),
                node.linkMbps(),
                node.cores());
    }

    /**
     * Identity and place of a process.
     *
     * @param name its unique name
     * @param dataCentre its data centre
     * @param firstStart true only if the whole installation starts for the first time
     * @param cores number of processor cores it may use
     * @param linkMbps bandwidth of its network link, in megabits per second
     */
    public record Node(
            String name, String dataCentre, boolean firstStart, double cores, double linkMbps) {
        /**
         * Creates a process of default size.
         *
         * @param name its unique name
         * @param dataCentre its data centre
         * @param firstStart true only if the whole installation starts for the first time
         */
        public Node(String name, String dataCentre, boolean firstStart) {
            this(name, dataCentre, firstStart, DEFAULT_CORES, DEFAULT_LINK_MBPS);
        }
    }

    /**
     * Addresses on which a process listens.
     *
     * @param callers address for callers
     * @param health address for the readiness checks of the load balancer
     * @param peers address for peers
     * @param metrics address for its metrics
     */
    public record Listen(HostPort callers, HostPort health, HostPort peers, HostPort metrics) {}

    /**
     * Bounds of retries over all processes.
     *
     * @param ratio retries allowed for each request
     * @param allowance further retries allowed in each window
     * @param windowMillis length of the window, in milliseconds
     */
    public record Retries(double ratio, double allowance, long windowMillis) {}

    /**
     * How far all processes together may exceed an organisation's limit.
     *
     * @param ratio excess as a ratio of the limit
     * @param units further units
     */
    public record Tolerance(double ratio, double units) {}

    /**
     * Requests that all processes together may send to a version that is not yet approved.
     *
     * @param ordered true if operators order roll-outs on this platform
     * @param share ratio of the service's requests, from 0 to 1
     * @param allowance further requests
     */
    public record Rollouts(boolean ordered, double share, double allowance) {
        /** The value for platforms without roll-outs. */
        public static final Rollouts NONE = new Rollouts(false, 0, 0);
    }

    /**
     * Time limits, all in milliseconds.
     *
     * @param graceMillis time from SIGTERM by which the process must have ended
     * @param leaseMillis time to live of the leader's lease
     * @param usageWindowMillis length of a usage window
     */
    public record Timing(long graceMillis, long leaseMillis, long usageWindowMillis) {}

    /**
     * Resources that the process may use; it is killed if it uses more.
     *
     * @param memoryBytes memory, in bytes; 0 if unknown
     * @param descriptors number of open files and sockets; 0 if unknown
     */
    public record Limits(long memoryBytes, int descriptors) {
        /** The value for settings that state no limits. */
        public static final Limits UNKNOWN = new Limits(0, 0);
    }

    /**
     * The region of each data centre.
     *
     * @param own the region of the process; empty if there is a single region
     * @param byDataCentre names of regions by name of data centre; empty if there is a single
     *     region
     */
    public record Regions(String own, Map<String, String> byDataCentre) {
        /** The value for settings that name no regions: all data centres are in the same one. */
        public static final Regions ONE = new Regions("", Map.of());

        /** Creates regions with a copy of the map. */
        public Regions {
            byDataCentre = Map.copyOf(byDataCentre);
        }
    }
}
