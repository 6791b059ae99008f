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
import io.trailladder.wire.RequestRecord;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The requests that this entry works on, or has the answers of, at most one of each name; none is
 * added once this entry leaves.
 */
final class LocalRequests {
    private static final long RETENTION_AFTER_END_MILLIS = 15_000;

    private final ServingContext context;
    private final CopySender copySender;
    private final Map<String, LocalRequest> requests = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * What came of adding a request.
     *
     * @param held the request that is here now
     * @param added false if it was here before
     */
    record AddResult(LocalRequest request, boolean added) {}

    LocalRequests(ServingContext context, CopySender copySender) {
        this.context = context;
        this.copySender = copySender;
    }

    Collection<LocalRequest> all() {
        return requests.values();
    }

    Optional<LocalRequest> find(String requestId) {
        return Optional.ofNullable(requests.get(requestId));
    }

    boolean isClosed() {
        return closed;
    }

    /** Takes no request any more; returns those that are worked on. */
    synchronized List<LocalRequest> close() {
        closed = true;
        return requests.values().stream().filter(LocalRequest::isActive).toList();
    }

    /**
     * Adds a request.
     *
     * @param keeper the entry with its copy; empty if there is none
     * @param stays tells whether a request of this name that is here already stays
     * @return empty if this entry leaves
     */
    synchronized Optional<AddResult> add(
            RequestRecord request, Row row, String keeper, Predicate<LocalRequest> stays) {
        Optional<LocalRequest> known = find(request.requestId()).filter(stays);
        if (known.isPresent()) {
            return known.map(h -> new AddResult(h, false));
        }
        if (closed) {
            return Optional.empty();
        }
        LocalRequest mine = new LocalRequest(new GenerationRunner(context, request, row, this::requestEnded), keeper);
        mine.copiedTokens = request.tokens().size();
        mine.copyFinished = request.complete();
        requests.put(request.requestId(), mine);
        return Optional.of(new AddResult(mine, true));
    }

    /** Ends the work on a request that another entry works on, and sends its callers there. */
    RequestRecord release(LocalRequest h) {
        RequestRecord record = h.runner.suspend();
        requests.remove(h.requestId(), h);
        copySender.drop(h.copyHolder, h.requestId());
        h.runner.redirectReceivers();
        return record;
    }

    private void requestEnded(GenerationRunner runner) {
        LocalRequest mine = requests.get(runner.request().requestId());
        if (mine == null || mine.runner != runner) {
            return;
        }
        if (!runner.isComplete()) {
            // its callers have a final answer: no other entry may begin it again
            mine.copyFinished = true;
            copySender.drop(mine.copyHolder, mine.requestId());
        }
        context.timer().schedule(() -> remove(mine), RETENTION_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void remove(LocalRequest ended) {
        if (requests.remove(ended.requestId(), ended)) {
            copySender.drop(ended.copyHolder, ended.requestId());
        }
    }
}
