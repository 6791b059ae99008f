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
final class HeldRequests {
    private static final long KEPT_AFTER_END_MILLIS = 15_000;

    private final ServingContext context;
    private final CopySender copySender;
    private final Map<String, Held> held = new ConcurrentHashMap<>();
    private volatile boolean leaving;

    /**
     * What came of adding a request.
     *
     * @param held the request that is here now
     * @param added false if it was here before
     */
    record Holding(Held held, boolean added) {}

    HeldRequests(ServingContext context, CopySender copySender) {
        this.context = context;
        this.copySender = copySender;
    }

    Collection<Held> all() {
        return held.values();
    }

    Optional<Held> find(String requestId) {
        return Optional.ofNullable(held.get(requestId));
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Takes no request any more; returns those that are worked on. */
    synchronized List<Held> leave() {
        leaving = true;
        return held.values().stream().filter(Held::isActive).toList();
    }

    /**
     * Adds a request.
     *
     * @param keeper the entry with its copy; empty if there is none
     * @param stays tells whether a request of this name that is here already stays
     * @return empty if this entry leaves
     */
    synchronized Optional<Holding> add(
            RequestRecord request, Row row, String keeper, Predicate<Held> stays) {
        Optional<Held> known = find(request.requestId()).filter(stays);
        if (known.isPresent()) {
            return known.map(h -> new Holding(h, false));
        }
        if (leaving) {
            return Optional.empty();
        }
        Held mine = new Held(new GenerationRunner(context, request, row, this::ended), keeper);
        mine.copied = request.tokens().size();
        mine.endCopied = request.complete();
        held.put(request.requestId(), mine);
        return Optional.of(new Holding(mine, true));
    }

    /** Ends the work on a request that another entry works on, and sends its callers there. */
    RequestRecord giveUp(Held h) {
        RequestRecord record = h.runner.suspend();
        held.remove(h.requestId(), h);
        copySender.drop(h.keeper, h.requestId());
        h.runner.redirectReceivers();
        return record;
    }

    private void ended(GenerationRunner runner) {
        Held mine = held.get(runner.request().requestId());
        if (mine == null || mine.runner != runner) {
            return;
        }
        if (!runner.isComplete()) {
            // its callers have a final answer: no other entry may begin it again
            mine.endCopied = true;
            copySender.drop(mine.keeper, mine.requestId());
        }
        context.timer().schedule(() -> forget(mine), KEPT_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void forget(Held ended) {
        if (held.remove(ended.requestId(), ended)) {
            copySender.drop(ended.keeper, ended.requestId());
        }
    }
}
