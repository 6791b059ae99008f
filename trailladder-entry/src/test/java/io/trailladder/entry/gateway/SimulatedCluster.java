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
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.topology.Topology;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeDigest;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.PeerCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Simulates gateway processes in virtual time that share the limit of one organisation. The cluster
 * views, limits and link plans are the production classes; links and store are simulated.
 *
 * <p>Callers send requests of {@link #UNITS_PER_REQUEST} units at a steady rate, in equal parts to
 * all running processes.
 */
final class SimulatedCluster {
    /** Size of each request, in units. */
    static final double UNITS_PER_REQUEST = 10;

    static final String ORGANISATION = "t";

    /** Two regions of three data centres each. */
    static final Map<String, String> REGIONS_OF_SIX =
            Map.of(
                    "dc0", "north", "dc1", "south", "dc2", "north", "dc3", "south", "dc4", "north",
                    "dc5", "south");

    /** Length of the windows over which the limit is checked, in milliseconds. */
    static final long WINDOW_MILLIS = 8_000;

    /** Length of a step, in milliseconds. */
    static final long STEP_MILLIS = 20;

    private static final long LEASE_TTL_MILLIS = 8_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 2_000;
    private static final double TOLERANCE = 0.1;

    /**
     * Absolute tolerance of the limit, in units. It is in the same proportion as for the largest
     * limits of the users' deployments.
     */
    static final double TOLERANCE_UNITS = 7_200;

    private final Map<String, SimulatedProcess> processes = new TreeMap<>();
    private final Map<String, Long> leaseEnds = new HashMap<>();
    private final Map<String, GatewayMember> entries = new HashMap<>();
    private final Set<Link> links = new HashSet<>();
    private final Deque<Message> inFlight = new ArrayDeque<>();
    private final TreeMap<Long, Integer> granted = new TreeMap<>();
    private final TreeMap<Long, Integer> refused = new TreeMap<>();
    private BiPredicate<String, String> cut = (one, other) -> false;
    private final Map<String, String> regions;
    private long bytesBetweenRegions;
    private ServingPolicy policy;
    private Runnable onStep = () -> {};
    private Set<String> olderBuildNames = Set.of();
    private Optional<SimulatedCallers> callers = Optional.empty();
    private final double toleranceUnits;
    private double demand;
    private double maxAllowedUnits;
    private long now;
    private long messages;
    private long bytes;

    /** A link between two processes, of which {@code dialler} opened it. */
    private record Link(String one, String other, String dialler) {
        boolean joins(String first, String second) {
            return (one.equals(first) && other.equals(second))
                    || (one.equals(second) && other.equals(first));
        }
    }

    /** A message that is delivered in the next step. */
    private record Message(NodeHello from, String to, NodeMessage content) {}

    SimulatedCluster(int dataCentres, int processesPerDataCentre, double perSecond) {
        this(dataCentres, processesPerDataCentre, perSecond, Map.of());
    }

    /** Creates a cluster whose processes know the regions of their data centres. */
    SimulatedCluster(
            int dataCentres,
            int processesPerDataCentre,
            double perSecond,
            Map<String, String> regions) {
        this(dataCentres, processesPerDataCentre, perSecond, TOLERANCE_UNITS, regions);
    }

    /** Creates a cluster in one region, with an absolute tolerance of the limit in units. */
    SimulatedCluster(
            int dataCentres, int processesPerDataCentre, double perSecond, double toleranceUnits) {
        this(dataCentres, processesPerDataCentre, perSecond, toleranceUnits, Map.of());
    }

    private SimulatedCluster(
            int dataCentres,
            int processesPerDataCentre,
            double perSecond,
            double toleranceUnits,
            Map<String, String> regions) {
        this.regions = regions;
        this.toleranceUnits = toleranceUnits;
        limit(perSecond);
        for (int i = 0; i < dataCentres * processesPerDataCentre; i++) {
            String dataCentre = "dc" + i % dataCentres;
            String name = String.format(Locale.ROOT, "p%03d", i);
            double linkMbps = i < 2 * dataCentres ? 100 : 10;
            GatewayMember member = new GatewayMember(name, dataCentre, name + ":1", linkMbps, 1);
            processes.put(name, new SimulatedProcess(this, member, i * 7L % 200));
            entries.put(name, member);
            leaseEnds.put(name, LEASE_TTL_MILLIS);
        }
        processes.values().forEach(process -> process.start(true));
    }

    Topology topology(String dataCentre) {
        return Topology.of(dataCentre, regions);
    }

    SimulatedProcess process(String name) {
        return processes.get(name);
    }

    /** Whether two processes are in different regions, also if they do not know the regions. */
    boolean isBetweenRegions(String one, String other) {
        return !regionOf(one).equals(regionOf(other));
    }

    private String regionOf(String name) {
        return SimulatedCluster.REGIONS_OF_SIX.getOrDefault(entries.get(name).dataCentre(), "");
    }

    /** Returns the number of bytes sent between regions, in both directions together. */
    long bytesBetweenRegions() {
        return bytesBetweenRegions;
    }

    long now() {
        return now;
    }

    ServingPolicy policy() {
        return policy;
    }

    /** Sets the limit, in units per second; the burst is the rate of one second. */
    void limit(double perSecond) {
        RateSpec limit = new RateSpec(perSecond, perSecond, true, 1);
        OrganisationSpec organisation =
                new OrganisationSpec(ORGANISATION, List.of("k"), OptionalInt.empty(), limit);
        double measured = perSecond * (WINDOW_MILLIS / 1000.0 + 1);
        maxAllowedUnits = measured * (1 + TOLERANCE) + toleranceUnits;
        apply(List.of(organisation));
    }

    /** Applies a policy without organisations. */
    void removeLimit() {
        apply(List.of());
    }

    private void apply(List<OrganisationSpec> organisations) {
        long version = policy == null ? 1 : policy.version() + 1;
        policy =
                new ServingPolicy(
                        version, List.of(), List.of(), organisations, RequestBounds.DEFAULTS);
        processes.values().forEach(SimulatedProcess::policyChanged);
    }

    GatewaySettings.Tolerance tolerance() {
        return new GatewaySettings.Tolerance(TOLERANCE, toleranceUnits);
    }

    /** Sets the units per second that callers request from all processes together. */
    void demand(double perSecond) {
        demand = perSecond;
    }

    /** Replaces the even demand by callers that send requests of their own. */
    void callers(SimulatedCallers senders) {
        callers = Optional.of(senders);
    }

    /** Sets which processes cannot reach each other. */
    void cut(BiPredicate<String, String> partitioned) {
        cut = (one, other) -> partitioned.test(one, other) || partitioned.test(other, one);
        for (Link link : List.copyOf(links)) {
            if (cut.test(link.one(), link.other())) {
                links.remove(link);
            }
        }
    }

    List<String> names() {
        return List.copyOf(processes.keySet());
    }

    List<String> namesOf(String dataCentre) {
        return processes.values().stream()
                .filter(process -> process.member().dataCentre().equals(dataCentre))
                .map(process -> process.member().name())
                .toList();
    }

    /** Delivers a change of the upstream list to all processes that follow the store now. */
    void deliverStoreChange(StoreItem item) {
        followers().forEach(name -> processes.get(name).storeChanged(item));
    }

    /** Sets whether the store answers a process, which otherwise cannot renew its entry. */
    void setStoreReachable(String name, boolean answers) {
        processes.get(name).setStoreReachable(answers);
    }

    /** Removes the entries of processes, which go on and write them again if they can. */
    void revokeEntries(Collection<String> names) {
        names.forEach(leaseEnds::remove);
    }

    /** Returns the running processes that follow the store themselves. */
    List<String> followers() {
        return processes.values().stream()
                .filter(process -> process.isRunning() && process.followsStore())
                .map(process -> process.member().name())
                .toList();
    }

    /** Returns the running processes whose upstream list is older than a revision. */
    List<String> behind(long revision) {
        return processes.values().stream()
                .filter(process -> process.isRunning() && process.directoryRevision() < revision)
                .map(process -> process.member().name())
                .toList();
    }

    /** Ends a process; its peers notice that their links close. */
    void kill(String name) {
        processes.get(name).stop();
        for (Link link : List.copyOf(links)) {
            if (link.one().equals(name) || link.other().equals(name)) {
                links.remove(link);
                String peer = link.one().equals(name) ? link.other() : link.one();
                processes.get(peer).closed(processes.get(name).member().address());
            }
        }
    }

    /** Ends a process without notice to its peers: their links stay open until it restarts. */
    void losePower(String name) {
        processes.get(name).stop();
    }

    /** Restarts a process that has ended; links of its previous incarnation are closed. */
    void restart(String name) {
        links.removeIf(link -> link.one().equals(name) || link.other().equals(name));
        processes.get(name).start(false);
    }

    void freeze(String name, boolean frozen) {
        processes.get(name).freeze(frozen);
    }

    /** Sets a task that runs after each time step. */
    void onStep(Runnable task) {
        onStep = task;
    }

    /** Advances the virtual time. */
    void advance(long millis) {
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            deliver();
            processes.values().forEach(this::step);
            sendRequests();
            onStep.run();
        }
    }

    /** Returns the number of requests refused since a time, inclusive. */
    int refusedSince(long millis) {
        return refused.tailMap(millis, true).values().stream().mapToInt(count -> count).sum();
    }

    /** Returns the units granted since a time, exclusive. */
    double grantedSince(long millis) {
        return UNITS_PER_REQUEST
                * granted.tailMap(millis, false).values().stream().mapToInt(count -> count).sum();
    }

    /**
     * Returns the units granted in the fullest window, as a share of the units that one window
     * allows; at most 1 if the limit is kept.
     */
    double fullestWindowShare() {
        double maxUnits = callers.map(each -> each.fullestWindow(WINDOW_MILLIS)).orElse(0.0);
        for (long end : granted.keySet()) {
            int requests =
                    granted.subMap(end - WINDOW_MILLIS, false, end, true).values().stream()
                            .mapToInt(count -> count)
                            .sum();
            maxUnits = Math.max(maxUnits, requests * UNITS_PER_REQUEST);
        }
        return maxUnits / maxAllowedUnits;
    }

    /** Returns the members that the store lists. */
    Collection<GatewayMember> listed() {
        List<GatewayMember> listed = new ArrayList<>();
        leaseEnds.forEach(
                (name, end) -> {
                    if (end > now) {
                        listed.add(entries.get(name));
                    }
                });
        return listed;
    }

    /** Adds a store entry for a process that does not exist. */
    void addEntryWithoutProcess(String name, String dataCentre, long forMillis) {
        entries.put(name, new GatewayMember(name, dataCentre, name + ":1", 1, 1));
        leaseEnds.put(name, now + forMillis);
    }

    boolean linked(String one, String other) {
        return links.stream().anyMatch(link -> link.joins(one, other));
    }

    /** Opens a link; returns false if the other process cannot be reached. */
    boolean dial(SimulatedProcess dialler, String address) {
        String name = address.substring(0, address.indexOf(':'));
        String own = dialler.member().name();
        SimulatedProcess target = processes.get(name);
        if (target == null || !target.isRunning() || cut.test(own, name)) {
            return false;
        }
        links.add(new Link(own, name, own));
        target.linked(dialler.hello());
        dialler.linked(target.hello());
        return true;
    }

    /** Closes the links that a process opened and no longer plans. */
    void closeUnplanned(String dialler, Set<String> plannedAddresses) {
        links.removeIf(
                link ->
                        link.dialler().equals(dialler)
                                && !plannedAddresses.contains(link.other() + ":1"));
    }

    void close(String one, String other) {
        links.removeIf(link -> link.joins(one, other));
    }

    /** Makes processes run an older build, which neither sends nor reads store epochs. */
    void olderBuildNames(Collection<String> names) {
        olderBuildNames = Set.copyOf(names);
    }

    boolean isOlderBuild(String name) {
        return olderBuildNames.contains(name);
    }

    private NodeMessage withoutUnknownSections(NodeHello from, String to, NodeMessage message) {
        boolean involvesOlderBuild =
                olderBuildNames.contains(from.name()) || olderBuildNames.contains(to);
        if (!involvesOlderBuild || !(message instanceof NodeDigest digest)) {
            return message;
        }
        return new NodeDigest(
                digest.policyVersion(),
                digest.directoryRevision(),
                digest.storeReachable(),
                digest.draining(),
                digest.scope(),
                digest.processes(),
                digest.members(),
                digest.usage(),
                digest.quotas(),
                digest.uses(),
                digest.demands(),
                digest.evidence(),
                digest.leaving(),
                digest.sections().stream()
                        .filter(section -> !section.name().equals("store-epoch"))
                        .toList());
    }

    void send(NodeHello from, String to, NodeMessage message) {
        if (isBetweenRegions(from.name(), to)) {
            bytesBetweenRegions += PeerCodec.encode(message).length;
        }
        inFlight.add(new Message(from, to, withoutUnknownSections(from, to, message)));
        messages++;
        bytes += PeerCodec.encode(message).length;
    }

    /** Returns the number of messages sent so far. */
    long messages() {
        return messages;
    }

    /** Returns the number of bytes sent so far. */
    long bytes() {
        return bytes;
    }

    private void deliver() {
        List<Message> messagesDue = List.copyOf(inFlight);
        inFlight.clear();
        for (Message message : messagesDue) {
            SimulatedProcess target = processes.get(message.to());
            if (target != null && linked(message.from().name(), message.to())) {
                target.received(message.from(), message.content());
            }
        }
    }

    private void step(SimulatedProcess process) {
        if (!process.isRunning()) {
            return;
        }
        process.step(now);
        boolean renews = process.takeResumed() || now % RENEWAL_INTERVAL_MILLIS == 0;
        if (renews && process.isStoreReachable()) {
            leaseEnds.put(process.member().name(), now + LEASE_TTL_MILLIS);
        }
    }

    private void sendRequests() {
        List<SimulatedProcess> running =
                processes.values().stream().filter(SimulatedProcess::isRunning).toList();
        if (callers.isPresent()) {
            callers.get().send(running, demand, STEP_MILLIS, now);
            running.forEach(SimulatedProcess::sendRequestedDigest);
            return;
        }
        for (SimulatedProcess process : running) {
            int requests =
                    process.wholeRequests(
                            demand / running.size() * STEP_MILLIS / 1000.0 / UNITS_PER_REQUEST);
            for (int i = 0; i < requests; i++) {
                process.request(
                        UNITS_PER_REQUEST,
                        waitMillis ->
                                (waitMillis == 0 ? granted : refused).merge(now, 1, Integer::sum));
            }
            process.sendRequestedDigest();
        }
    }
}
