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
package io.trailladder.entry.serve;

import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.RequestRecord;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the entry that keeps a request's copy, or that goes on with it: never one where the row's
 * data may not be handled, one that stops only if all others do, preferably one of this data
 * centre.
 */
final class PeerSelector {
    private final Peers links;
    private final RowPolicies policies;
    private final String localDataCentre;
    private final Predicate<String> stopping;

    /**
     * Creates the choice.
     *
     * @param links knows the live peers
     * @param policies knows the rows
     * @param here this entry's data centre
     * @param stopping tells whether a peer has said that it stops
     */
    PeerSelector(Peers links, RowPolicies policies, String here, Predicate<String> stopping) {
        this.links = links;
        this.policies = policies;
        this.localDataCentre = here;
        this.stopping = stopping;
    }

    /** Chooses a peer for a request; empty if none may have it. */
    Optional<String> choose(RequestRecord request) {
        return choose(request, "", Set.of());
    }

    /**
     * Chooses a peer for a request.
     *
     * @param preferred goes before others of its kind; may be empty
     * @param except peers that are not chosen
     */
    Optional<String> choose(RequestRecord request, String preferred, Set<String> except) {
        RowKey key = new RowKey(request.organisation(), request.model());
        return policies.table().row(key).flatMap(row -> choose(row, preferred, except));
    }

    private Optional<String> choose(Row row, String preferred, Set<String> except) {
        return links.live().stream()
                .filter(peer -> row.allows(peer.dataCentre()) && !except.contains(peer.id()))
                .min(
                        Comparator.comparing((EntryInfo peer) -> stopping.test(peer.id()))
                                .thenComparing(peer -> !peer.id().equals(preferred))
                                .thenComparing(peer -> !peer.dataCentre().equals(localDataCentre)))
                .map(EntryInfo::id);
    }
}
