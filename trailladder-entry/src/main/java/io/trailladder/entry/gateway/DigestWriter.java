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

import io.trailladder.core.duty.UsageCount;
import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.engine.EngineEvidence;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.core.upstream.ServiceDemand;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamUse;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.UsageHistory;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Function;

/** Writes the digests of this process: for each kind of peer the figures that it lacks. */
final class DigestWriter {
    /**
     * Interval between two digests with the observed speed of upstreams, in milliseconds: it
     * changes slowly, and its sums are the largest part of a digest.
     */
    private static final long EVIDENCE_INTERVAL_MILLIS = 1_000;

    private final PolicyManager policies;
    private final DirectoryManager directory;
    private final UpstreamLoads loads;
    private final UsageLedger usage;
    private final DemandMeter demand;
    private final EngineModel engines;
    private final DigestParts parts;
    private long evidenceSentMillis;
    private boolean sendsEvidence;

    /**
     * What a digest contains about its sender.
     *
     * @param storeReachable true if the platform's store answers the sender
     * @param draining true if the sender is stopping
     * @param members number of processes that the sender has read in the store; 0 if none
     * @param leaving upstreams that the sender recently saw leaving
     * @param history the epoch of the sender's revisions
     */
    record SenderState(
            boolean storeReachable,
            boolean draining,
            int members,
            List<LeavingUpstream> leaving,
            StoreEpochSection history) {
        /** Returns the same state with the store marked as unreachable. */
        SenderState withoutStore() {
            return new SenderState(false, draining, members, leaving, history);
        }
    }

    DigestWriter(
            PolicyManager policies,
            DirectoryManager directory,
            UpstreamLoads loads,
            UsageLedger usage,
            DemandMeter demand,
            EngineModel engines,
            DigestParts parts) {
        this.parts = parts;
        this.policies = policies;
        this.directory = directory;
        this.loads = loads;
        this.usage = usage;
        this.demand = demand;
        this.engines = engines;
    }

    /** Starts a round of digests, and decides whether its digests include evidence. */
    void beginRound(long nowMillis) {
        sendsEvidence = nowMillis - evidenceSentMillis >= EVIDENCE_INTERVAL_MILLIS;
        if (sendsEvidence) {
            evidenceSentMillis = nowMillis;
        }
    }

    /** Writes the digest of a leaf for its hub. */
    NodeDigest own(SenderState state, long usageSent, long nowMillis) {
        return digest(
                state,
                DigestScope.OWN,
                1,
                usageChanges(usageSent),
                loads.ownUses(),
                demand.demands(nowMillis),
                evidence(List.of(), nowMillis),
                parts.sections(DigestScope.OWN, List.of(), nowMillis));
    }

    /** Writes the digest of a hub for other hubs: its own figures and those of its leaves. */
    NodeDigest group(SenderState state, Collection<Peer> leaves, long usageSent, long nowMillis) {
        return digest(
                state,
                DigestScope.GROUP,
                1 + leaves.size(),
                usageChanges(usageSent),
                loads.groupUses(Peer.names(leaves)),
                sum(leaves, nowMillis),
                evidence(leaves, nowMillis),
                parts.sections(DigestScope.GROUP, Peer.names(leaves), nowMillis));
    }

    /**
     * Writes the digest for other regions: the sums over the processes of the own region, without
     * changes of usage. Requests in progress are summed by service, since single upstreams are
     * managed within their region.
     */
    NodeDigest region(
            SenderState state,
            Collection<Peer> own,
            int processes,
            List<UpstreamUse> uses,
            long nowMillis) {
        return digest(
                state,
                DigestScope.GROUP,
                processes,
                List.of(),
                uses,
                sum(own, nowMillis),
                evidence(own, nowMillis),
                parts.sections(DigestScope.GROUP, Peer.names(own), nowMillis));
    }

    /** Writes the digest for other regions of a hub that does not represent its own region. */
    NodeDigest versions(SenderState state) {
        return new NodeDigest(
                policies.version(),
                directory.revision(),
                state.storeReachable(),
                state.draining(),
                DigestScope.GROUP,
                0,
                state.members(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                state.history().write().map(List::of).orElse(List.of()));
    }

    /**
     * Writes the digest of a hub for a leaf: the figures of all other processes, their number, and
     * the changes of everybody's usage if the leaf is a usage replica.
     */
    NodeDigest rest(
            SenderState state,
            Peer leaf,
            Collection<Peer> counted,
            int processes,
            boolean replicatesUsage,
            long nowMillis) {
        List<Peer> others = counted.stream().filter(peer -> peer != leaf).toList();
        return digest(
                state,
                DigestScope.REST,
                processes,
                replicatesUsage ? histories(usage.allChangesAfter(leaf.usageSent())) : List.of(),
                loads.usesExcept(leaf.name()),
                sum(others, nowMillis),
                evidence(others, nowMillis),
                parts.sections(DigestScope.REST, Peer.names(others), nowMillis));
    }

    /** Returns the load of every service, summed over this process and some peers. */
    List<ServiceDemand> sum(Collection<Peer> peers, long nowMillis) {
        List<ServiceDemand> reported = new ArrayList<>(demand.demands(nowMillis));
        for (Peer peer : peers) {
            reported.addAll(peer.demands());
        }
        return byService(reported, ServiceDemand::service, ServiceDemand::plus);
    }

    private List<EngineEvidence> evidence(Collection<Peer> peers, long nowMillis) {
        if (!sendsEvidence) {
            return List.of();
        }
        List<EngineEvidence> reported = new ArrayList<>(engines.evidence(nowMillis));
        for (Peer peer : peers) {
            reported.addAll(peer.evidence());
        }
        return byService(reported, EngineEvidence::service, EngineEvidence::plus);
    }

    /** Returns the sum of the given values for each service. */
    private static <T> List<T> byService(
            List<T> reported, Function<T, String> service, BinaryOperator<T> plus) {
        Map<String, T> sum = new TreeMap<>();
        for (T part : reported) {
            sum.merge(service.apply(part), part, plus);
        }
        return List.copyOf(sum.values());
    }

    private List<UsageHistory> usageChanges(long usageSent) {
        return usageSent >= usage.sequence() ? List.of() : histories(usage.changesAfter(usageSent));
    }

    /** Returns the changes of usage of the own region that have not been sent to another region. */
    List<UsageHistory> regionUsageChanges(long usageSent) {
        return histories(usage.regionChangesAfter(usageSent));
    }

    private static List<UsageHistory> histories(Map<String, List<UsageCount>> counts) {
        List<UsageHistory> histories = new ArrayList<>();
        counts.forEach(
                (incarnation, changed) -> histories.add(new UsageHistory(incarnation, changed)));
        return histories;
    }

    private static List<DigestSection> withStateSections(
            List<DigestSection> sections, SenderState state) {
        List<DigestSection> all = new ArrayList<>(sections);
        LeavingIncarnations.section(state.leaving()).ifPresent(all::add);
        state.history().write().ifPresent(all::add);
        return all;
    }

    private NodeDigest digest(
            SenderState state,
            DigestScope scope,
            int processes,
            List<UsageHistory> usageChanges,
            List<UpstreamUse> uses,
            List<ServiceDemand> demands,
            List<EngineEvidence> evidence,
            List<DigestSection> sections) {
        return new NodeDigest(
                policies.version(),
                directory.revision(),
                state.storeReachable(),
                state.draining(),
                scope,
                processes,
                state.members(),
                usageChanges,
                List.of(),
                uses,
                demands,
                evidence,
                LeavingIncarnations.ids(state.leaving()),
                withStateSections(sections, state));
    }
}
