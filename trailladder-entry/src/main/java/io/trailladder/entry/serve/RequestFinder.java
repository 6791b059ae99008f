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

import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import io.trailladder.wire.PeerMessage.Standing;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Asks all peers which of them has a request.
 *
 * @since 0.1
 */
public final class RequestFinder {
    private static final long ANSWER_MILLIS = 400;

    private final PeerLinks links;
    private final Map<String, Search> searches = new ConcurrentHashMap<>();

    /** A search under way. */
    private static final class Search {
        final CompletableFuture<Optional<String>> found = new CompletableFuture<>();
        int open;
        String copyAt = "";
    }

    /**
     * Creates the finder.
     *
     * @param links reaches peers
     */
    public RequestFinder(PeerLinks links) {
        this.links = links;
    }

    /**
     * Looks for a request.
     *
     * @param requestId its name
     * @param organisation whose it must be
     * @return the peer that works on it, or else one that has a copy; empty if no peer has it
     */
    public CompletableFuture<Optional<String>> find(String requestId, String organisation) {
        List<EntryInfo> peers = links.live();
        Search search = new Search();
        search.open = peers.size();
        Search running = searches.putIfAbsent(requestId, search);
        if (running != null) {
            return running.found;
        }
        RecordFind find = new RecordFind(requestId, organisation);
        for (EntryInfo peer : peers) {
            if (!links.send(peer.id(), find)) {
                found(peer.id(), new RecordFound(requestId, Standing.NONE));
            }
        }
        if (peers.isEmpty()) {
            search.found.complete(Optional.empty());
        }
        return search.found
                .completeOnTimeout(Optional.empty(), ANSWER_MILLIS, TimeUnit.MILLISECONDS)
                .thenApply(holder -> holder.or(() -> copyAt(search)))
                .whenComplete((holder, failure) -> searches.remove(requestId));
    }

    /**
     * Takes a peer's answer.
     *
     * @param peer the peer's name
     * @param answer its answer
     */
    public void found(String peer, RecordFound answer) {
        Search search = searches.get(answer.requestId());
        if (search == null) {
            return;
        }
        boolean last;
        synchronized (search) {
            search.open--;
            last = search.open <= 0;
            if (answer.standing() == Standing.COPY) {
                search.copyAt = peer;
            }
        }
        if (answer.standing() == Standing.HOLDER) {
            search.found.complete(Optional.of(peer));
        } else if (last) {
            search.found.complete(Optional.empty());
        }
    }

    private static Optional<String> copyAt(Search search) {
        synchronized (search) {
            return Optional.of(search.copyAt).filter(peer -> !peer.isEmpty());
        }
    }
}
