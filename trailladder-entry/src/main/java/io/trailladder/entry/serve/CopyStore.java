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

    /** A request another entry works on. */
    private record Copy(RequestRecord request, String owner) {}

    /** Keeps a copy. */
    void put(RequestRecord request, String owner) {
        copies.put(request.requestId(), new Copy(request, owner));
    }

    /** Gives a copy up. */
    void drop(String requestId) {
        copies.remove(requestId);
    }

    /** Tells whether there is a copy of an organisation's request. */
    boolean has(String requestId, String organisation) {
        Copy copy = copies.get(requestId);
        return copy != null && copy.request().organisation().equals(organisation);
    }

    /** Takes a copy out, to go on with its request. */
    Optional<RequestRecord> take(String requestId, String organisation) {
        return has(requestId, organisation)
                ? Optional.ofNullable(copies.remove(requestId)).map(Copy::request)
                : Optional.empty();
    }

    /** Takes the copies of a lost entry's unfinished requests out. */
    List<RequestRecord> takeUnfinishedOf(String owner) {
        List<RequestRecord> orphans = new ArrayList<>();
        for (Copy copy : List.copyOf(copies.values())) {
            boolean orphan = copy.owner().equals(owner) && !copy.request().complete();
            if (orphan && copies.remove(copy.request().requestId(), copy)) {
                orphans.add(copy.request());
            }
        }
        return orphans;
    }

    /** Adds tokens to a copy; a part after a gap is passed over. */
    void grow(TokenPart part) {
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
