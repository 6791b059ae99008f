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
package io.trailladder.entry.gateway;

import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.platform.http.HostPort;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses upstreams for a request among those that take bodies as fast as they come. Without it, an
 * upstream that reads slowly would collect the bodies of all its requests here.
 */
final class BodyCapacitySelector {
    /** Part of the budget of memory that bodies may take while one upstream reads them. */
    private static final int UPSTREAM_BUDGET_DIVISOR = 8;

    private final ServingContext context;
    private final ServingRequest request;
    private boolean wasCapacityShort;

    BodyCapacitySelector(ServingContext context, ServingRequest request) {
        this.context = context;
        this.request = request;
    }

    /**
     * Chooses an upstream.
     *
     * @param tried upstreams that are left out
     * @param nowMillis the time
     * @return the best one that has room; nothing if there is none
     */
    Optional<Selection> choose(Set<String> tried, long nowMillis) {
        wasCapacityShort = false;
        Optional<Selection> choice = context.selector().choose(request, tried, nowMillis);
        if (choice.isEmpty() || hasCapacity(choice.get().upstream())) {
            return choice;
        }
        wasCapacityShort = true;
        Set<String> without = new HashSet<>(tried);
        while (choice.isPresent() && !hasCapacity(choice.get().upstream())) {
            without.add(choice.get().upstream().id());
            choice = context.selector().choose(request, without, nowMillis);
        }
        return choice;
    }

    /** Tells whether upstreams were left out of the last choice for want of room. */
    boolean wasCapacityShort() {
        return wasCapacityShort;
    }

    /** A body always has room where no other one waits. */
    private boolean hasCapacity(Upstream upstream) {
        if (request.bodyBytes() == 0 || !context.connector().hasUnwritten()) {
            return true;
        }
        long waiting = context.connector().unwrittenBytes(HostPort.parse(upstream.address()));
        long bound = context.memory().account().budget().bytes() / UPSTREAM_BUDGET_DIVISOR;
        return waiting == 0 || waiting + request.bodyBytes() <= bound;
    }
}
