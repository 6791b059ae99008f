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
 * All that a gateway process is told when it starts, and again when its settings change.
 *
 * @param node who and where it is
 * @param listen where it listens
 * @param seeds addresses of peers, which may be stale
 * @param store the platform's store
 * @param cloud the platform's API for duties
 * @param retries bounds of second attempts
 * @param tolerance how far organisations' limits may be overshot
 * @param rollouts what a version under test may get
 * @param timing bounds of time
 * @param limits what the process may use
 * @param regions which data centres lie in which region
 * @param notes what was set aside when the settings were read, to be logged
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
    /** Processor of a process whose settings do not tell it, in cores. */
    public static final double DEFAULT_CORES = 1;

    /** Bandwidth of a process whose settings do not tell it, in megabits a second. */
    public static final double DEFAULT_LINK_MBPS = 1_000;

    /** Copies the lists. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        notes = List.copyOf(notes);
    }

    /**
     * Creates settings of one region without known limits.
     *
     * @param node who and where it is
     * @param listen where it listens
     * @param seeds addresses of peers, which may be stale
     * @param store the platform's store
     * @param cloud the platform's API for duties
     * @param retries bounds of second attempts
     * @param tolerance how far organisations' limits may be overshot
     * @param rollouts what a version under test may get
     * @param timing bounds of time
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
     * Returns this process as the others are to know it.
     *
     * @return its entry
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
     * Who and where a process is.
     *
     * @param name its name, unlike all others
     * @param dataCentre its data centre
     * @param firstStart true only if the whole installation starts for the first time
     * @param cores processor it may use, in cores
     * @param linkMbps bandwidth of its network link, in megabits a second
     */
    public record Node(
            String name, String dataCentre, boolean firstStart, double cores, double linkMbps) {
        /**
         * Creates a process of usual size.
         *
         * @param name its name, unlike all others
         * @param dataCentre its data centre
         * @param firstStart true only if the whole installation starts for the first time
         */
        public Node(String name, String dataCentre, boolean firstStart) {
            this(name, dataCentre, firstStart, DEFAULT_CORES, DEFAULT_LINK_MBPS);
        }
    }

    /**
     * Where a process listens.
     *
     * @param callers for callers
     * @param health for the balancer's question whether it is ready
     * @param peers for its peers
     * @param metrics for its own figures
     */
    public record Listen(HostPort callers, HostPort health, HostPort peers, HostPort metrics) {}

    /**
     * Bounds of second attempts, over all processes.
     *
     * @param ratio second attempts allowed for each request
     * @param allowance second attempts allowed on top in a window
     * @param windowMillis length of the window, in milliseconds
     */
    public record Retries(double ratio, double allowance, long windowMillis) {}

    /**
     * How far all processes together may overshoot an organisation's limit.
     *
     * @param ratio part of the limit
     * @param units units on top
     */
    public record Tolerance(double ratio, double units) {}

    /**
     * What all processes together may send to a version that is not yet found good.
     *
     * @param ordered true if operators order roll-outs on this platform
     * @param share part of the service's requests
     * @param allowance requests on top
     */
    public record Rollouts(boolean ordered, double share, double allowance) {
        /** For platforms without roll-outs. */
        public static final Rollouts NONE = new Rollouts(false, 0, 0);
    }

    /**
     * Bounds of time, all in milliseconds.
     *
     * @param graceMillis time between SIGTERM and the end
     * @param leaseMillis time to live of the leader's lease
     * @param usageWindowMillis length of a usage window
     */
    public record Timing(long graceMillis, long leaseMillis, long usageWindowMillis) {}

    /**
     * What the process may use; it is killed above that.
     *
     * @param memoryBytes memory, in bytes; 0 if not told
     * @param descriptors open files and sockets; 0 if not told
     */
    public record Limits(long memoryBytes, int descriptors) {
        /** For settings that tell none. */
        public static final Limits UNKNOWN = new Limits(0, 0);
    }

    /**
     * Which data centres lie in which region.
     *
     * @param own the region of the process; empty if all is one region
     * @param byDataCentre the region of each data centre, by its name; empty if all is one region
     */
    public record Regions(String own, Map<String, String> byDataCentre) {
        /** For settings that tell none: all data centres lie in the same one. */
        public static final Regions ONE = new Regions("", Map.of());

        /** Copies the table. */
        public Regions {
            byDataCentre = Map.copyOf(byDataCentre);
        }
    }
}
