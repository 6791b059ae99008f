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
 * The requests that this entry works on or has the answers of, at most one per ID. None is added
 * after {@link #close}.
 */
final class LocalRequests {
    private static final long RETENTION_AFTER_END_MILLIS = 15_000;

    private final ServingContext context;
    private final CopySender copySender;
    private final Map<String, LocalRequest> requests = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Result of adding a request.
     *
     * @param request the request that is here now
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

    /** Accepts no more requests; returns those that this entry works on. */
    synchronized List<LocalRequest> close() {
        closed = true;
        return requests.values().stream().filter(LocalRequest::isActive).toList();
    }

    /**
     * Adds a request.
     *
     * @param copyHolder the entry with its copy; empty if there is none
     * @param keepExisting whether a request with the same ID that is here already is kept and the
     *     new one not added
     * @return the request that is here now; empty after {@link #close}
     */
    synchronized Optional<AddResult> add(
            RequestRecord request,
            Row row,
            String copyHolder,
            Predicate<LocalRequest> keepExisting) {
        Optional<LocalRequest> existing = find(request.requestId()).filter(keepExisting);
        if (existing.isPresent()) {
            return existing.map(local -> new AddResult(local, false));
        }
        if (closed) {
            return Optional.empty();
        }
        LocalRequest local =
                new LocalRequest(
                        new GenerationRunner(context, request, row, this::requestEnded),
                        copyHolder);
        local.copiedTokens = request.tokens().size();
        local.copyFinished = request.complete();
        requests.put(request.requestId(), local);
        return Optional.of(new AddResult(local, true));
    }

    /** Stops work on a request that another entry works on, and redirects its callers there. */
    RequestRecord release(LocalRequest local) {
        RequestRecord record = local.runner.suspend();
        requests.remove(local.requestId(), local);
        copySender.drop(local.copyHolder, local.requestId());
        local.runner.redirectReceivers();
        return record;
    }

    private void requestEnded(GenerationRunner runner) {
        LocalRequest local = requests.get(runner.request().requestId());
        if (local == null || local.runner != runner) {
            return;
        }
        if (!runner.isComplete()) {
            // its callers have received a final answer, so no other entry may start it again
            local.copyFinished = true;
            copySender.drop(local.copyHolder, local.requestId());
        }
        context.timer()
                .schedule(() -> remove(local), RETENTION_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void remove(LocalRequest ended) {
        if (requests.remove(ended.requestId(), ended)) {
            copySender.drop(ended.copyHolder, ended.requestId());
        }
    }
}
