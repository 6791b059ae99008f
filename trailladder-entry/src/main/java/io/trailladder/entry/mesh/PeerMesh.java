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
package io.trailladder.entry.mesh;

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.membership.HubTopology;
import io.trailladder.core.membership.LinkPlanner;
import io.trailladder.core.membership.LinkPlanner.LinkPlan;
import io.trailladder.core.topology.Distance;
import io.trailladder.core.topology.Topology;
import io.trailladder.entry.http.SocketFilter;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.RelayRequest;
import io.trailladder.wire.PeerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.tinylog.Logger;

/**
 * Links to the other gateway processes.
 *
 * <p>{@link LinkPlanner} decides which peers to link to. A process that has no link at all tries
 * the addresses from the settings.
 *
 * @since 0.2
 */
public final class PeerMesh implements Mesh {
    /** How long a peer counts as reachable after its last message, in milliseconds. */
    public static final long PEER_REACHABLE_MILLIS = 1_200;

    private static final long MAINTENANCE_PERIOD_MILLIS = 400;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long LINK_TIMEOUT_MILLIS = 2_500;

    private final EventLoop loop;
    private final NodeHello self;
    private final Topology topology;
    private final Map<Distance, Long> sentBytes = new EnumMap<>(Distance.class);
    private final Optional<RegionView> regions;
    private final LinkPlanner planner;
    private final MeshListener listener;
    private final FilterChain chain;
    private final Set<NodeLink> open = new HashSet<>();
    private final Map<String, NodeLink> links = new HashMap<>();
    private final Set<String> dialling = new HashSet<>();
    private Set<String> seeds = Set.of();
    private LinkPlan plan = new LinkPlan(true, Set.of());
    private List<GatewayMember> members = List.of();
    private Optional<RelayAcceptor> relays = Optional.empty();
    private boolean planned;
    private boolean listedAtStart;

    /**
     * Creates a mesh.
     *
     * @param loop the loop on whose thread it runs
     * @param self this process
     * @param topology the location of this process and its peers
     * @param incarnation identifies this incarnation of the process
     * @param listener receives links and messages
     */
    public PeerMesh(
            EventLoop loop,
            GatewayMember self,
            Topology topology,
            String incarnation,
            MeshListener listener) {
        this.loop = loop;
        this.self = new NodeHello(self.name(), incarnation, self.dataCentre(), self.address());
        this.planner = new LinkPlanner(self, topology);
        this.topology = topology;
        this.regions =
                topology.isOneRegion()
                        ? Optional.empty()
                        : Optional.of(new RegionView(this.self, topology, planner));
        this.listener = listener;
        this.chain =
                FilterChainBuilder.stateless()
                        .add(new SocketFilter())
                        .add(new NodeFrameFilter(new Frames()))
                        .build();
    }

    /**
     * Listens for peers and dials the known ones.
     *
     * @param address the address to listen at
     * @throws IOException if the port is taken
     */
    public void start(HostPort address) throws IOException {
        loop.bind(new InetSocketAddress(address.host(), address.port()), chain);
        loop.repeat(MAINTENANCE_PERIOD_MILLIS, this::maintain);
    }

    /**
     * Sets what relays connections of peers to upstreams.
     *
     * @param acceptor accepts the connections
     */
    public void relays(RelayAcceptor acceptor) {
        relays = Optional.of(acceptor);
    }

    /**
     * Sets the processes that the store lists.
     *
     * @param listed all of them
     */
    public void members(Collection<GatewayMember> listed) {
        List<GatewayMember> current = List.copyOf(listed);
        if (!planned) {
            listedAtStart = current.stream().anyMatch(member -> member.name().equals(self.name()));
        }
        if (!planned || !current.equals(members)) {
            members = current;
            planner.members(current);
        }
        planned = true;
        maintain();
    }

    /**
     * Returns the processes that the store lists.
     *
     * @return all of them; empty if it has listed none yet
     */
    public List<GatewayMember> members() {
        return members;
    }

    /**
     * Returns the processes of the own region that the store lists.
     *
     * @return all of them; empty if it has listed none yet
     */
    public List<GatewayMember> membersOfRegion() {
        return members.stream()
                .filter(member -> topology.isOwnRegion(member.dataCentre()))
                .toList();
    }

    /**
     * Returns the other processes that are known: those that the store lists, or the linked ones
     * until it has listed any.
     *
     * @return the processes; may include this one
     */
    public List<GatewayMember> knownPeers() {
        if (!members.isEmpty()) {
            return members;
        }
        return links.values().stream()
                .map(NodeLink::peer)
                .map(
                        peer ->
                                new GatewayMember(
                                        peer.name(), peer.dataCentre(), peer.address(), 0, 0))
                .toList();
    }

    @Override
    public String name() {
        return self.name();
    }

    @Override
    public boolean wasListedAtStart() {
        return listedAtStart;
    }

    @Override
    public void avoid(NodeHello peer) {
        NodeLink link = links.get(peer.name());
        if (link != null) {
            link.close();
        }
    }

    @Override
    public int size() {
        return planner.size();
    }

    /**
     * Returns how many processes of the own region are known, this one included.
     *
     * @return a count of at least 1
     */
    public int regionSize() {
        return planner.regionSize();
    }

    /**
     * Returns how many bytes of messages were sent to peers so far.
     *
     * @param distance the distance of the peers
     * @return bytes
     */
    public long sentBytes(Distance distance) {
        return sentBytes.getOrDefault(distance, 0L);
    }

    @Override
    public Optional<RegionView> regions() {
        return regions;
    }

    @Override
    public boolean isHub() {
        return plan.hub();
    }

    @Override
    public boolean isPlanned() {
        return planned;
    }

    @Override
    public boolean isOwnHub(NodeHello peer) {
        return !plan.hub() && plan.dial().contains(peer.address());
    }

    @Override
    public boolean isStoreFollower(String name) {
        return planner.isStoreFollower(name);
    }

    @Override
    public boolean followsStoreForHubs() {
        return planner.isStoreFollower(self.name());
    }

    @Override
    public boolean receivesUpdatesFrom(NodeHello peer) {
        if (!plan.hub()) {
            return isOwnHub(peer);
        }
        return isStoreFollower(peer.name()) && !followsStoreForHubs();
    }

    /**
     * Returns whether this process is looking for a hub that it can reach.
     *
     * @return true for a leaf without a link to a hub
     */
    public boolean lacksHub() {
        return planned && !plan.hub() && plan.dial().stream().noneMatch(this::isLinked);
    }

    /**
     * Sets the addresses from the settings.
     *
     * @param addresses host and port of each
     */
    public void seeds(Collection<String> addresses) {
        seeds = new HashSet<>(addresses);
    }

    @Override
    public Set<String> send(Collection<String> peers, NodeMessage message) {
        Set<String> linked = new HashSet<>(peers);
        linked.retainAll(links.keySet());
        if (!linked.isEmpty()) {
            byte[] frame = PeerCodec.encode(message);
            for (String peer : linked) {
                NodeLink link = links.get(peer);
                link.sendFrame(frame);
                Distance distance = topology.distance(link.peer().dataCentre());
                sentBytes.merge(distance, (long) frame.length, Long::sum);
            }
        }
        return linked;
    }

    private void maintain() {
        long now = loop.nowMillis();
        for (NodeLink link : List.copyOf(open)) {
            if (now - link.lastReceivedMillis() > linkTimeoutMillis(link)) {
                planner.unreachable(link.peerAddress(), now);
                link.close();
            }
        }
        if (planned) {
            plan = planner.plan(listener.isNeeded(), now);
        }
        closeUnwanted();
        plan.dial().forEach(this::dialIfMissing);
        if (links.isEmpty()) {
            seeds.forEach(this::dialIfMissing);
        }
    }

    /**
     * Returns the timeout of a link; it is shorter for a leaf's hub, so that the leaf soon looks
     * for another hub.
     */
    private long linkTimeoutMillis(NodeLink link) {
        boolean ownHub = link.hasHello() && isOwnHub(link.peer());
        return ownHub ? PEER_REACHABLE_MILLIS : LINK_TIMEOUT_MILLIS;
    }

    private boolean isFullMesh() {
        return planner.size() <= HubTopology.FULL_MESH_MAX_PROCESSES && regions.isEmpty();
    }

    @Override
    public boolean keepsLinkTo(NodeHello peer) {
        return isFullMesh() || plan.dial().contains(peer.address());
    }

    /** Closes the links opened before the processes were known that a leaf or hub does not need. */
    private void closeUnwanted() {
        if (isFullMesh() || !planned) {
            return;
        }
        for (NodeLink link : List.copyOf(open)) {
            if (link.isDialled() && !plan.dial().contains(link.peerAddress())) {
                link.close();
            }
        }
    }

    private boolean isLinked(String address) {
        return links.values().stream().anyMatch(link -> link.peer().address().equals(address));
    }

    private void dialIfMissing(String address) {
        boolean none = address.equals(self.address()) || isLinked(address);
        if (none || !dialling.add(address)) {
            return;
        }
        HostPort target = HostPort.parse(address);
        Dial dial = new Dial(address);
        dial.timeout = loop.schedule(CONNECT_TIMEOUT_MILLIS, dial::failed);
        loop.connect(
                new InetSocketAddress(target.host(), target.port()),
                chain,
                dial::opened,
                cause -> loop.execute(dial::failed));
    }

    private void sendHello(NodeLink link) {
        link.send(self);
    }

    /** One attempt to open a link. */
    private final class Dial {
        private final String address;
        private LoopTimer timeout;
        private boolean over;

        Dial(String address) {
            this.address = address;
        }

        void opened(Connection<?> connection) {
            if (over) {
                connection.terminateSilently();
                return;
            }
            end();
            NodeLink link = new NodeLink(connection, address, loop.nowMillis());
            NodeFrameFilter.attach(connection, link);
            open.add(link);
            sendHello(link);
        }

        void failed() {
            if (!over) {
                end();
                planner.unreachable(address, loop.nowMillis());
            }
        }

        private void end() {
            over = true;
            timeout.cancel();
            dialling.remove(address);
        }
    }

    /** Handles the links and messages that the frame filter reads. */
    private final class Frames implements NodeFrameFilter.Listener {
        @Override
        public NodeLink accepted(Connection<?> connection) {
            NodeLink link = new NodeLink(connection, "", loop.nowMillis());
            open.add(link);
            sendHello(link);
            return link;
        }

        @Override
        public void message(NodeLink link, NodeMessage message) {
            link.messageReceived(loop.nowMillis());
            if (message instanceof RelayRequest request && !link.hasHello()) {
                relay(link, request);
            } else if (message instanceof NodeHello hello) {
                link.helloReceived(hello);
                planner.reached(hello.address());
                NodeLink before = links.put(hello.name(), link);
                if (before == null || !before.peer().incarnation().equals(hello.incarnation())) {
                    listener.linked(hello);
                }
            } else if (link.hasHello()) {
                listener.received(link.peer(), message);
            }
        }

        private void relay(NodeLink link, RelayRequest request) {
            open.remove(link);
            if (relays.isEmpty() || !isKnown(request.sender(), link.remoteHost())) {
                Logger.warn(
                        "relay request of {} at {} refused: not a known process",
                        request.sender(),
                        link.remoteHost());
                link.close();
                return;
            }
            RelayTarget target = relays.get().accept(link.connection(), request);
            NodeFrameFilter.relay(link.connection(), target);
        }

        /** Returns whether a process of that name is known at that IP address. */
        private boolean isKnown(String name, String host) {
            NodeLink link = links.get(name);
            boolean linked = link != null && isAt(link.peer().address(), host);
            return linked
                    || members.stream()
                            .anyMatch(
                                    member ->
                                            member.name().equals(name)
                                                    && isAt(member.address(), host));
        }

        private boolean isAt(String address, String host) {
            return HostPort.parse(address).host().equals(host);
        }

        @Override
        public void closed(NodeLink link) {
            open.remove(link);
            if (link.hasHello()) {
                boolean ownHub = isOwnHub(link.peer());
                links.remove(link.peer().name(), link);
                planner.unreachable(link.peerAddress(), loop.nowMillis());
                if (ownHub) {
                    loop.execute(PeerMesh.this::maintain);
                }
            }
        }
    }
}
