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

import io.trailladder.entry.http.SocketFilter;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.PeerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;

/**
 * Links to the other gateway processes.
 *
 * <p>Of two processes that know each other, the one whose address sorts lower opens the link.
 * Addresses from the settings are tried by everyone while a process has no link at all.
 *
 * @since 0.2
 */
public final class PeerMesh {
    /** How long a peer counts as heard after its last message, in milliseconds. */
    public static final long HEARD_MILLIS = 1_200;

    private static final long DIAL_MILLIS = 400;
    private static final long CONNECT_MILLIS = 1_000;
    private static final long SILENT_MILLIS = 2_500;

    private final EventLoop loop;
    private final NodeHello self;
    private final MeshListener listener;
    private final FilterChain chain;
    private final Set<NodeLink> open = new HashSet<>();
    private final Map<String, NodeLink> links = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private final Set<String> dialling = new HashSet<>();
    private Set<String> members = Set.of();
    private Set<String> seeds = Set.of();

    /**
     * Creates a mesh.
     *
     * @param loop the loop whose thread runs it
     * @param self how this process presents itself
     * @param listener told of peers and messages
     */
    public PeerMesh(EventLoop loop, NodeHello self, MeshListener listener) {
        this.loop = loop;
        this.self = self;
        this.listener = listener;
        this.chain =
                FilterChainBuilder.stateless()
                        .add(new SocketFilter())
                        .add(new NodeFrameFilter(new Frames()))
                        .build();
    }

    /**
     * Listens for peers and dials those that are known.
     *
     * @param address where to listen
     * @throws IOException if the port is taken
     */
    public void start(HostPort address) throws IOException {
        loop.bind(new InetSocketAddress(address.host(), address.port()), chain);
        loop.repeat(DIAL_MILLIS, this::maintain);
    }

    /**
     * Sets the addresses of the peers that the store lists.
     *
     * @param addresses host and port of each
     */
    public void members(Collection<String> addresses) {
        members = new HashSet<>(addresses);
        maintain();
    }

    /**
     * Sets the addresses from the settings.
     *
     * @param addresses host and port of each
     */
    public void seeds(Collection<String> addresses) {
        seeds = new HashSet<>(addresses);
    }

    /**
     * Sends a message to every linked peer.
     *
     * @param message the message
     */
    public void sendAll(NodeMessage message) {
        if (links.isEmpty()) {
            return;
        }
        byte[] frame = PeerCodec.encode(message);
        List.copyOf(links.values()).forEach(link -> link.sendFrame(frame));
    }

    /**
     * Sends a message to one peer.
     *
     * @param peer the peer's name
     * @param message the message
     * @return false if there is no link to it
     */
    public boolean send(String peer, NodeMessage message) {
        NodeLink link = links.get(peer);
        if (link == null) {
            return false;
        }
        link.send(message);
        return true;
    }

    /**
     * Returns the peers that were heard lately.
     *
     * @return their names
     */
    public List<String> heardPeers() {
        long oldest = loop.nowMillis() - HEARD_MILLIS;
        List<String> names = new ArrayList<>();
        heard.forEach(
                (name, millis) -> {
                    if (millis >= oldest) {
                        names.add(name);
                    }
                });
        return names;
    }

    private void maintain() {
        long now = loop.nowMillis();
        for (NodeLink link : List.copyOf(open)) {
            if (now - link.heardMillis() > SILENT_MILLIS) {
                link.close();
            }
        }
        for (String member : members) {
            if (self.address().compareTo(member) < 0) {
                dialIfMissing(member);
            }
        }
        if (links.isEmpty()) {
            seeds.forEach(this::dialIfMissing);
        }
    }

    private void dialIfMissing(String address) {
        boolean linked =
                links.values().stream().anyMatch(link -> link.peer().address().equals(address));
        if (linked || address.equals(self.address()) || !dialling.add(address)) {
            return;
        }
        HostPort target = HostPort.parse(address);
        Dial dial = new Dial(address);
        dial.timeout = loop.schedule(CONNECT_MILLIS, dial::end);
        loop.connect(
                new InetSocketAddress(target.host(), target.port()),
                chain,
                dial::opened,
                cause -> dial.end());
    }

    private void greet(NodeLink link) {
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
            NodeLink link = new NodeLink(connection, loop.nowMillis());
            NodeFrameFilter.attach(connection, link);
            open.add(link);
            greet(link);
        }

        void end() {
            over = true;
            timeout.cancel();
            dialling.remove(address);
        }
    }

    /** Takes what the frame filter reads. */
    private final class Frames implements NodeFrameFilter.Listener {
        @Override
        public NodeLink accepted(Connection<?> connection) {
            NodeLink link = new NodeLink(connection, loop.nowMillis());
            open.add(link);
            greet(link);
            return link;
        }

        @Override
        public void message(NodeLink link, NodeMessage message) {
            link.heard(loop.nowMillis());
            if (message instanceof NodeHello hello) {
                link.greeted(hello);
                NodeLink before = links.put(hello.name(), link);
                heard.put(hello.name(), loop.nowMillis());
                if (before == null) {
                    listener.linked(hello);
                }
            } else if (link.isGreeted()) {
                heard.put(link.peer().name(), loop.nowMillis());
                listener.received(link.peer(), message);
            }
        }

        @Override
        public void closed(NodeLink link) {
            open.remove(link);
            if (link.isGreeted()) {
                links.remove(link.peer().name(), link);
            }
        }
    }
}
