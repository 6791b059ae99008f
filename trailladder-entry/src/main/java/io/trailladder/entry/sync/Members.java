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
 * The known entries of the installation, as reported by the platform and by peers. Decides which of
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
     * Creates the members, with this entry as the only known one.
     *
     * @param self the description of this entry
     * @param links dials the other entries
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
     * Applies the list of entries from the platform. Removes entries that are neither listed nor
     * live.
     *
     * @param entries the entries
     * @param nowMillis the current time, in milliseconds
     * @return whether any of them was not known
     */
    public boolean listed(Collection<EntryInfo> entries, long nowMillis) {
        registered = Set.copyOf(entries.stream().map(EntryInfo::id).toList());
        registeredMillis = nowMillis;
        known.keySet().removeIf(id -> !registered.contains(id) && !isLive(id));
        return received(entries);
    }

    /**
     * Adds entries that a peer reports.
     *
     * @param entries the entries
     * @return whether any of them was not known
     */
    public boolean received(Collection<EntryInfo> entries) {
        boolean added = false;
        for (EntryInfo entry : entries) {
            added |= known.putIfAbsent(entry.id(), entry) == null;
        }
        dialNeighbours();
        return added;
    }

    /**
     * Returns all known entries.
     *
     * @return their descriptions, including this entry
     */
    public List<EntryInfo> known() {
        return List.copyOf(known.values());
    }

    /**
     * Returns the names in the last list from the platform.
     *
     * @param nowMillis the current time, in milliseconds
     * @param maxAgeMillis the maximum age of the list, in milliseconds
     * @return the names, or null if the list is older
     */
    public Set<String> registered(long nowMillis, long maxAgeMillis) {
        return nowMillis - registeredMillis <= maxAgeMillis ? registered : null;
    }

    /**
     * Returns the rank of this entry for a task among the live entries of its data centre.
     *
     * @param task the name of the task
     * @return the rank; 0 for the first
     */
    public int rank(String task) {
        return PeerTopology.rank(member(self), live(), task);
    }

    /**
     * Returns the live entries, starting with this one.
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
