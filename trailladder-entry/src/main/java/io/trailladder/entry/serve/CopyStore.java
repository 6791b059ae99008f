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

import io.trailladder.wire.PeerMessage.TokenPart;
import io.trailladder.wire.RequestRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps copies of requests that other entries work on.
 *
 * @since 0.1
 */
final class CopyStore {
    private final Map<String, Copy> copies = new ConcurrentHashMap<>();

    /**
     * A request another entry works on.
     *
     * @param request the request
     * @param owner the entry that works on it
     */
    record Copy(RequestRecord request, String owner) {}

    /** Keeps a copy. */
    void put(RequestRecord request, String owner) {
        copies.put(request.requestId(), new Copy(request, owner));
    }

    /** Gives a copy up. */
    void drop(String requestId) {
        copies.remove(requestId);
    }

    /** Gives a copy up if it is still the copy of this entry's request. */
    void drop(String requestId, String owner) {
        copies.computeIfPresent(requestId, (id, copy) -> copy.owner().equals(owner) ? null : copy);
    }

    /** Finds the copy of an organisation's request. */
    Optional<Copy> find(String requestId, String organisation) {
        return Optional.ofNullable(copies.get(requestId))
                .filter(copy -> copy.request().organisation().equals(organisation));
    }

    /** Takes a copy out, to go on with its request. */
    Optional<Copy> take(String requestId, String organisation) {
        return find(requestId, organisation).filter(copy -> copies.remove(requestId) != null);
    }

    /** Finds the copies of an entry's unfinished requests. */
    List<Copy> unfinishedOf(String owner) {
        return copies.values().stream()
                .filter(copy -> copy.owner().equals(owner) && !copy.request().complete())
                .toList();
    }

    /** Takes the copies of a lost entry's unfinished requests out. */
    List<Copy> takeUnfinishedOf(String owner) {
        return unfinishedOf(owner).stream()
                .filter(copy -> copies.remove(copy.request().requestId(), copy))
                .toList();
    }

    /** Adds tokens to a copy; a part after a gap is passed over. */
    void append(TokenPart part) {
        copies.computeIfPresent(
                part.requestId(),
                (id, copy) -> {
                    List<String> tokens = copy.request().tokens();
                    if (part.from() > tokens.size()) {
                        return copy;
                    }
                    List<String> grown = new ArrayList<>(tokens.subList(0, part.from()));
                    grown.addAll(part.tokens());
                    return new Copy(copy.request().with(grown, part.complete()), copy.owner());
                });
    }

    int size() {
        return copies.size();
    }
}
