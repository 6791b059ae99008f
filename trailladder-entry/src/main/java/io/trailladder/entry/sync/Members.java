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
package io.trailladder.entry.sync;

import io.trailladder.core.membership.PeerTopology;
import io.trailladder.core.membership.PeerTopology.Member;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.wire.EntryInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Knows the entries of the installation, from the platform and from peers, and decides which of
 * them to link to.
 *
 * @since 0.1
 */
public final class Members {
    private final EntryInfo self;
    private final PeerLinks links;
    private final List<String> seeds;
    private final Map<String, EntryInfo> known = new ConcurrentHashMap<>();
    private volatile Set<String> registered = Set.of();
    private volatile long registeredMillis;

    /**
     * Creates the members.
     *
     * @param self this entry
     * @param links dials them
     * @param seeds peer addresses that are always dialled
     */
    public Members(EntryInfo self, PeerLinks links, List<String> seeds) {
        this.self = self;
        this.links = links;
        this.seeds = List.copyOf(seeds);
        known.put(self.id(), self);
        seeds.forEach(links::addAddress);
    }

    /**
     * Takes over the entries that the platform lists.
     *
     * @param entries the entries
     * @param nowMillis the time
     * @return true if any was not known
     */
    public boolean listed(Collection<EntryInfo> entries, long nowMillis) {
        registered = Set.copyOf(entries.stream().map(EntryInfo::id).toList());
        registeredMillis = nowMillis;
        known.keySet().removeIf(id -> !registered.contains(id) && !isLive(id));
        return received(entries);
    }

    /**
     * Takes over entries that a peer names.
     *
     * @param entries the entries
     * @return true if any was not known
     */
    public boolean received(Collection<EntryInfo> entries) {
        boolean news = false;
        for (EntryInfo entry : entries) {
            news |= known.putIfAbsent(entry.id(), entry) == null;
        }
        dialNeighbours();
        return news;
    }

    /**
     * Returns all known entries.
     *
     * @return their presentations, with this one
     */
    public List<EntryInfo> known() {
        return List.copyOf(known.values());
    }

    /**
     * Returns the names of the entries that the platform listed lately.
     *
     * @param nowMillis the time
     * @param maxAgeMillis how old the list may be, in milliseconds
     * @return the names, or null if the list is older
     */
    public Set<String> registered(long nowMillis, long maxAgeMillis) {
        return nowMillis - registeredMillis <= maxAgeMillis ? registered : null;
    }

    /**
     * Ranks this entry among the live ones of its data centre.
     *
     * @param task names the work
     * @return 0 for the first
     */
    public int rank(String task) {
        return PeerTopology.rank(member(self), live(), task);
    }

    /**
     * Returns the live entries, with this one.
     *
     * @return the entries
     */
    public List<Member> live() {
        List<Member> live = new ArrayList<>();
        live.add(member(self));
        links.live().forEach(peer -> live.add(member(peer)));
        return live;
    }

    private void dialNeighbours() {
        List<Member> all = known.values().stream().map(Members::member).toList();
        List<String> keep = new ArrayList<>(seeds);
        for (String id : PeerTopology.neighbours(member(self), all)) {
            EntryInfo entry = known.get(id);
            if (entry != null) {
                links.addAddress(entry.peerAddress());
                keep.add(entry.peerAddress());
            }
        }
        links.retainAddresses(keep);
    }

    private boolean isLive(String id) {
        return id.equals(self.id()) || links.live().stream().anyMatch(p -> p.id().equals(id));
    }

    private static Member member(EntryInfo entry) {
        return new Member(entry.id(), entry.dataCentre());
    }
}
