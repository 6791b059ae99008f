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
package io.trailladder.wire;

import io.trailladder.core.duty.UsageCount;
import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.UpstreamUse;
import java.util.List;

/**
 * A message between two gateway processes.
 *
 * @since 0.2
 */
public sealed interface NodeMessage extends PeerMessage {
    /**
     * Opens a link.
     *
     * @param name the sender's name
     * @param incarnation names this life of the sender
     * @param dataCentre its data centre
     * @param address where it takes links
     */
    record NodeHello(String name, String incarnation, String dataCentre, String address)
            implements NodeMessage {}

    /** Whose figures a digest carries. */
    enum DigestScope {
        /** The sender's own: it relies on the receiver to pass them on. */
        OWN,
        /** Those of the sender, a hub, and of all that rely on it. */
        GROUP,
        /** Those of all processes but the receiver, as its hub sees them. */
        REST
    }

    /**
     * What the sender knows and does, sent a few times a second.
     *
     * @param policyVersion version of the policy in force there; 0 if it knows none
     * @param directoryRevision revision of its list of upstreams; 0 if it knows none
     * @param storeReachable true if the platform's store answers the sender
     * @param draining true if it is stopping
     * @param scope whose figures follow
     * @param processes how many processes the figures are of
     * @param members how many processes the sender has read in the store; 0 if none
     * @param usage requests that began to run, where that has changed since the digest before
     * @param quotas what was let pass, by organisation
     * @param uses what is under way at upstreams
     * @param demands the prompts that upstreams of services are to read
     * @param evidence what was seen of the speed of upstreams; empty if not told this time
     * @param leaving upstreams it saw leaving lately
     * @param sections what parts of the product tell each other, in forms of their own
     */
    record NodeDigest(
            long policyVersion,
            long directoryRevision,
            boolean storeReachable,
            boolean draining,
            DigestScope scope,
            int processes,
            int members,
            List<UsageHistory> usage,
            List<OrganisationUse> quotas,
            List<UpstreamUse> uses,
            List<ServiceDemand> demands,
            List<EngineEvidence> evidence,
            List<String> leaving,
            List<DigestSection> sections)
            implements NodeMessage {
        /**
         * Returns the digest with other news of usage.
         *
         * @param news requests that began to run
         * @return a copy
         */
        public NodeDigest withUsage(List<UsageHistory> news) {
            return new NodeDigest(
                    policyVersion,
                    directoryRevision,
                    storeReachable,
                    draining,
                    scope,
                    processes,
                    members,
                    news,
                    quotas,
                    uses,
                    demands,
                    evidence,
                    leaving,
                    sections);
        }

        /**
         * Returns the digest with other figures of services.
         *
         * @param sound the demands
         * @param soundEvidence the evidence
         * @return a copy
         */
        public NodeDigest withFigures(
                List<ServiceDemand> sound, List<EngineEvidence> soundEvidence) {
            return new NodeDigest(
                    policyVersion,
                    directoryRevision,
                    storeReachable,
                    draining,
                    scope,
                    processes,
                    members,
                    usage,
                    quotas,
                    uses,
                    sound,
                    soundEvidence,
                    leaving,
                    sections);
        }
    }

    /**
     * What one part of the product tells its like at the receiver. A receiver without that part, or
     * with an older form of it, passes the section over, so that processes of two versions work
     * together while they are replaced.
     *
     * @param name names the part
     * @param version form of the body
     * @param ageMillis age of the figures when they were sent, in milliseconds
     * @param body the figures, in the part's form; at most {@link #MOST_BYTES}
     */
    record DigestSection(String name, int version, long ageMillis, byte[] body) {
        /** Most bytes of a body: what 100 upstreams or organisations take at 40 bytes each. */
        public static final int MAX_BODY_BYTES = 4_096;

        /** Most sections of a digest: several times the parts that exist. */
        public static final int MAX_SECTIONS = 16;
    }

    /**
     * One organisation's use.
     *
     * @param organisation the organisation
     * @param used units let pass since the sender's start
     * @param toldBefore the part of them that other processes have been told of already
     * @param level units left over all processes, as the sender sees it
     */
    record OrganisationUse(String organisation, double used, double reportedBefore, double level) {}

    /**
     * What a region knows and does, told to other regions and passed on within them as it came.
     *
     * @param speaks true if the origin tells for its region; else only versions are told
     * @param hears who tells the origin for the receiver's region; empty if nobody does
     * @param origin the process that told it first
     * @param digest the sums of all processes of its region that the origin hears
     */
    record RegionDigest(boolean represents, String receivesFrom, NodeHello origin, NodeDigest digest)
            implements NodeMessage {}

    /**
     * Requests that began to run at one process, told to a peer that may not have heard of them.
     *
     * @param life names the life of the process
     * @param usage its counts of recent windows
     */
    record UsageHistory(String incarnation, List<UsageCount> usage) implements NodeMessage {}

    /**
     * Asks for what the receiver knows of policy and upstreams, where that is newer.
     *
     * @param policyVersion version of the policy that the sender has
     * @param directoryRevision revision of the sender's list of upstreams
     */
    record SnapshotRequest(long policyVersion, long directoryRevision) implements NodeMessage {}

    /**
     * One change of the list of upstreams, told by a hub to its leaves.
     *
     * @param after revision of the list before the change
     * @param revision revision of the list with it
     * @param upstream the entry; without bytes if it is gone
     */
    record UpstreamUpdate(long after, long revision, UpstreamEntry upstream) implements NodeMessage {}

    /**
     * What the sender knows and has seen of roll-outs; sent only while there are some.
     *
     * @param rollouts one entry a service
     */
    record RolloutReport(List<RolloutUpdate> rollouts) implements NodeMessage {
        /** Copies the entries. */
        public RolloutReport {
            rollouts = List.copyOf(rollouts);
        }
    }

    /**
     * What the sender knows of policy and upstreams, as the platform wrote it.
     *
     * @param policyVersion version of the policy; 0 if it knows none
     * @param policy the policy's bytes
     * @param directoryRevision revision of the list of upstreams; 0 if it knows none
     * @param upstreams the upstreams' entries
     */
    record Snapshot(
            long policyVersion,
            byte[] policy,
            long directoryRevision,
            List<UpstreamEntry> upstreams)
            implements NodeMessage {}

    /**
     * One upstream's entry.
     *
     * @param id the upstream's name
     * @param value the entry's bytes
     */
    record UpstreamEntry(String id, byte[] value) {}
}
