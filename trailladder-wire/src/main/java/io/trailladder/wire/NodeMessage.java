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
     * The first message of each side of a link.
     *
     * @param name the sender's name
     * @param incarnation identifies one run of the sender, from its start to its end
     * @param dataCentre its data centre
     * @param address host and port where it accepts links
     */
    record NodeHello(String name, String incarnation, String dataCentre, String address)
            implements NodeMessage {}

    /** Which processes the figures of a digest cover. */
    enum DigestScope {
        /** The sender only; the receiver, its hub, passes them on. */
        OWN,
        /** The sender, a hub, and all its leaves. */
        GROUP,
        /** All processes except the receiver, as known to its hub. */
        REST
    }

    /**
     * The state and load of the sender, sent a few times a second.
     *
     * @param policyVersion version of the policy that the sender applies; 0 if it has none
     * @param directoryRevision revision of its list of upstreams; 0 if it has none
     * @param storeReachable true if the platform's store answers the sender
     * @param draining true if it is stopping
     * @param scope which processes the figures cover
     * @param processes how many processes the figures cover
     * @param members how many processes are listed in the store, as last read by the sender; 0 if
     *     none
     * @param usage counts of requests that began to run, where changed since the previous digest
     * @param quotas admitted units by organisation; only sent by older builds
     * @param uses requests in progress at upstreams
     * @param demands rates of prompt tokens by service
     * @param evidence observations of the speed of upstreams; empty if this digest has none
     * @param leaving upstreams that it recently found to be leaving
     * @param sections figures of separate components, each in its own format
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
         * Returns a copy of the digest with other usage.
         *
         * @param newUsage counts of requests that began to run
         * @return the copy
         */
        public NodeDigest withUsage(List<UsageHistory> newUsage) {
            return new NodeDigest(
                    policyVersion,
                    directoryRevision,
                    storeReachable,
                    draining,
                    scope,
                    processes,
                    members,
                    newUsage,
                    quotas,
                    uses,
                    demands,
                    evidence,
                    leaving,
                    sections);
        }

        /**
         * Returns a copy of the digest with other figures of services.
         *
         * @param newDemands the demands
         * @param newEvidence the evidence
         * @return the copy
         */
        public NodeDigest withFigures(
                List<ServiceDemand> newDemands, List<EngineEvidence> newEvidence) {
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
                    newDemands,
                    newEvidence,
                    leaving,
                    sections);
        }
    }

    /**
     * The figures of one component for the same component at the receiver. A receiver without that
     * component, or with another version of its format, ignores the section, so that processes of
     * two versions work together during an upgrade.
     *
     * @param name name of the component
     * @param version version of the format of the body
     * @param ageMillis age of the figures when they were sent, in milliseconds
     * @param body the figures in the component's format; at most {@link #MAX_BODY_BYTES} bytes
     */
    record DigestSection(String name, int version, long ageMillis, byte[] body) {
        /** Maximum size of a body: 100 upstreams or organisations at about 40 bytes each. */
        public static final int MAX_BODY_BYTES = 4_096;

        /** Maximum number of sections of a digest, several times the number of components. */
        public static final int MAX_SECTIONS = 16;
    }

    /**
     * The units that one organisation has used.
     *
     * @param organisation the organisation
     * @param used units admitted since the sender's start
     * @param reportedBefore those of them that are already reported to other processes
     * @param level units left across all processes, as calculated by the sender
     */
    record OrganisationUse(String organisation, double used, double reportedBefore, double level) {}

    /**
     * The state of a region, sent to other regions and forwarded unchanged within them.
     *
     * @param represents true if the origin represents its region; otherwise only the versions apply
     * @param receivesFrom the process from which the origin receives the digests of the receiver's
     *     region; empty if there is none
     * @param origin the process that created the digest
     * @param digest the sums over all processes of its region from which the origin receives
     *     digests
     */
    record RegionDigest(
            boolean represents, String receivesFrom, NodeHello origin, NodeDigest digest)
            implements NodeMessage {}

    /**
     * Requests units of an organisation's limit; answered by a {@link UnitsGrant}.
     *
     * @param organisation the organisation
     * @param needed the least units that help
     * @param wanted the units that the sender can use, at least {@code needed}
     * @param refused the units of requests that the sender has refused since it last asked
     */
    record UnitsRequest(String organisation, double needed, double wanted, double refused)
            implements NodeMessage {}

    /**
     * Moves units of an organisation's limit to the receiver, or refuses to.
     *
     * @param organisation the organisation
     * @param units the units, which the sender no longer has; 0 if there are none
     * @param waitMillis the time after which there may be some, in milliseconds
     */
    record UnitsGrant(String organisation, double units, long waitMillis) implements NodeMessage {}

    /**
     * Moves units of an organisation's limit that the sender does not need to the receiver.
     *
     * @param organisation the organisation
     * @param units the units, which the sender no longer has
     */
    record UnitsReturn(String organisation, double units) implements NodeMessage {}

    /**
     * Asks at which version of upstreams a stream began; answered by a {@link StreamReply}.
     *
     * @param stream a hash of the service and of the id of the attempt that began it
     */
    record StreamQuery(long stream) implements NodeMessage {}

    /**
     * Tells at which version of upstreams a stream began.
     *
     * @param stream a hash of the service and of the id of the attempt that began it
     * @param version the version; empty if the sender does not know it
     * @param plan the number of the plan that the sender uses
     * @param complete false if the sender could not ask all processes for which it answers
     */
    record StreamReply(long stream, String version, long plan, boolean complete)
            implements NodeMessage {}

    /**
     * Tells at which versions of upstreams streams began.
     *
     * @param kind why they are told
     * @param streams the streams
     */
    record StreamNews(Kind kind, List<StreamSent> streams) implements NodeMessage {
        /** Why streams are told. */
        public enum Kind {
            /** To be known if the sender ends. */
            COPY(0),
            /** Their versions do not follow from the plans, which every process must know. */
            UNPLANNED(1),
            /** The same, all that the sender knows; sent once after a link is open. */
            ALL_UNPLANNED(2);

            private final int number;

            Kind(int number) {
                this.number = number;
            }

            /**
             * Returns the number of the kind on the wire.
             *
             * @return the number
             */
            public int number() {
                return number;
            }
        }

        /** Copies the list. */
        public StreamNews {
            streams = List.copyOf(streams);
        }
    }

    /**
     * A stream that was sent to an upstream.
     *
     * @param stream a hash of the service and of the id of the attempt that began it
     * @param version the version of the upstream
     * @param ageMillis time since it was first told, in milliseconds
     */
    record StreamSent(long stream, String version, long ageMillis) {}

    /**
     * Counts of requests that began to run at one process, for a peer that may lack them.
     *
     * @param incarnation identifies the run of the process
     * @param usage its counts of recent windows
     */
    record UsageHistory(String incarnation, List<UsageCount> usage) implements NodeMessage {}

    /**
     * Requests the receiver's policy and list of upstreams, where they are newer.
     *
     * @param policyVersion version of the policy that the sender has
     * @param directoryRevision revision of the sender's list of upstreams
     */
    record SnapshotRequest(long policyVersion, long directoryRevision) implements NodeMessage {}

    /**
     * One change of the list of upstreams, sent by a hub to its leaves.
     *
     * @param after revision of the list before the change
     * @param revision revision of the list with it
     * @param upstream the entry; without bytes if it is removed
     */
    record UpstreamUpdate(long after, long revision, UpstreamEntry upstream)
            implements NodeMessage {}

    /**
     * The state and evidence of roll-outs at the sender; sent only while there are any.
     *
     * @param rollouts one update per service
     */
    record RolloutReport(List<RolloutUpdate> rollouts) implements NodeMessage {
        /** Makes an unmodifiable copy of the updates. */
        public RolloutReport {
            rollouts = List.copyOf(rollouts);
        }
    }

    /**
     * The sender's policy and list of upstreams, in the bytes that the platform wrote.
     *
     * @param policyVersion version of the policy; 0 if the sender has none
     * @param policy the policy's bytes
     * @param directoryRevision revision of the list of upstreams; 0 if the sender has none
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

    /**
     * A message on a connection of its own, over which a process relays the bytes between a peer
     * and an upstream that the peer does not reach.
     */
    sealed interface RelayMessage extends NodeMessage {}

    /**
     * Requests the receiver to connect the sender to an upstream; the first message on the
     * connection. After a {@link RelayOpened}, the sender sends bytes for the upstream, without
     * frames.
     *
     * @param sender the sender's name
     * @param upstream the upstream's name
     * @param requestId id of the request for which the connection is opened
     * @param timeoutMillis timeout for the connection to the upstream, in milliseconds
     * @param lifetimeMillis time after which the request is over, in milliseconds
     */
    record RelayRequest(
            String sender,
            String upstream,
            String requestId,
            long timeoutMillis,
            long lifetimeMillis)
            implements RelayMessage {}

    /**
     * Answers a {@link RelayRequest}: the connection to the upstream is open.
     *
     * @param upstream the upstream's name
     */
    record RelayOpened(String upstream) implements RelayMessage {}

    /**
     * Answers a {@link RelayRequest}: nothing was sent to the upstream.
     *
     * @param reason the name of the reason; a receiver may not know it
     */
    record RelayRefused(String reason) implements RelayMessage {}

    /**
     * Carries bytes that the upstream sent.
     *
     * @param bytes the bytes
     */
    record RelayData(byte[] bytes) implements RelayMessage {}

    /**
     * Ends a relayed connection. Without it, the receiver cannot tell the end of the upstream's
     * connection from the loss of its own.
     *
     * @param orderly true if the upstream closed its connection, false if the connection broke
     */
    record RelayEnd(boolean orderly) implements RelayMessage {}
}
