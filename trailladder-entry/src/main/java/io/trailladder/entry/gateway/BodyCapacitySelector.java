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
 * Chooses an upstream for a request among those that read request bodies fast enough. Without this
 * check, the bodies of all requests to a slow upstream would accumulate in this process.
 */
final class BodyCapacitySelector {
    /** Unsent bodies for one upstream may take this fraction (1/n) of the memory budget. */
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
     * @param tried ids of the upstreams to exclude
     * @param version the version of the upstream; empty if any may be chosen
     * @param nowMillis the current time, in milliseconds
     * @return the best upstream with capacity for the body; empty if there is none
     */
    Optional<Selection> choose(Set<String> tried, Optional<String> version, long nowMillis) {
        wasCapacityShort = false;
        Optional<Selection> choice = context.selector().choose(request, tried, version, nowMillis);
        if (choice.isEmpty() || hasCapacity(choice.get().upstream())) {
            return choice;
        }
        wasCapacityShort = true;
        Set<String> excluded = new HashSet<>(tried);
        while (choice.isPresent() && !hasCapacity(choice.get().upstream())) {
            excluded.add(choice.get().upstream().id());
            choice = context.selector().choose(request, excluded, version, nowMillis);
        }
        return choice;
    }

    /** Whether the last choice left out upstreams that had no capacity for the body. */
    boolean wasCapacityShort() {
        return wasCapacityShort;
    }

    /** Whether some upstream may lack the capacity for the body. */
    boolean mayCapacityBeShort() {
        return request.bodyBytes() > 0 && context.connector().hasUnwritten();
    }

    /**
     * Whether an upstream has capacity for the body. It always has if no other body waits to be
     * sent.
     */
    private boolean hasCapacity(Upstream upstream) {
        if (!mayCapacityBeShort()) {
            return true;
        }
        long unsentBytes = context.connector().unwrittenBytes(HostPort.parse(upstream.address()));
        long maxBytes = context.memory().account().budget().bytes() / UPSTREAM_BUDGET_DIVISOR;
        return unsentBytes == 0 || unsentBytes + request.bodyBytes() <= maxBytes;
    }
}
