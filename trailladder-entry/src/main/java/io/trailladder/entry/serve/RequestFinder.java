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

import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import io.trailladder.wire.PeerMessage.Standing;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Asks all peers which of them has a request.
 *
 * @since 0.1
 */
public final class RequestFinder {
    private static final long ANSWER_TIMEOUT_MILLIS = 400;

    private final Peers links;
    private final ScheduledExecutorService timer;
    private final Map<String, Search> searches = new ConcurrentHashMap<>();

    /** A search under way. */
    private static final class Search {
        final CompletableFuture<Optional<String>> holder = new CompletableFuture<>();
        final Set<String> unanswered = new HashSet<>();
        String copyHolder = "";

        /** Tells who works on the request, or else who has a copy of it. */
        CompletableFuture<Optional<String>> result() {
            return holder.thenApply(peer -> peer.or(this::findCopyHolder));
        }

        private synchronized Optional<String> findCopyHolder() {
            return Optional.of(copyHolder).filter(peer -> !peer.isEmpty());
        }

        /** Takes an answer; returns true if it was the last one. */
        synchronized boolean recordAnswer(String peer, Standing standing) {
            if (standing == Standing.COPY) {
                copyHolder = peer;
            }
            return unanswered.remove(peer) && unanswered.isEmpty();
        }
    }

    /**
     * Creates the finder.
     *
     * @param links reaches peers
     * @param timer ends searches that peers leave unanswered
     */
    public RequestFinder(Peers links, ScheduledExecutorService timer) {
        this.links = links;
        this.timer = timer;
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
        peers.forEach(peer -> search.unanswered.add(peer.id()));
        Search running = searches.putIfAbsent(requestId, search);
        if (running != null) {
            return running.result();
        }
        RecordFind find = new RecordFind(requestId, organisation);
        for (EntryInfo peer : peers) {
            if (!links.send(peer.id(), find)) {
                answerReceived(peer.id(), new RecordFound(requestId, Standing.NONE));
            }
        }
        if (peers.isEmpty()) {
            search.holder.complete(Optional.empty());
        }
        timer.schedule(
                () -> search.holder.complete(Optional.empty()),
                ANSWER_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
        return search.result().whenComplete((peer, failure) -> searches.remove(requestId, search));
    }

    /**
     * Takes a peer's answer.
     *
     * @param peer the peer's name
     * @param answer its answer
     */
    public void answerReceived(String peer, RecordFound answer) {
        Search search = searches.get(answer.requestId());
        if (search == null) {
            return;
        }
        boolean last = search.recordAnswer(peer, answer.standing());
        if (answer.standing() == Standing.HOLDER) {
            search.holder.complete(Optional.of(peer));
        } else if (last) {
            search.holder.complete(Optional.empty());
        }
    }
}
