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
package io.trailladder.core.pipeline;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * How the ids of the events of each service rise, as seen within single answers of upstreams, and
 * as recorded by processes that have ended.
 *
 * <p>Ids need not be consecutive. Where no process ran before, an event is known to be missing only
 * once ids were seen to rise by one. A process that starts later takes each gap for a missing event
 * unless it has seen a larger step of the service, or one is recorded: what it lacks may have been
 * seen by processes that have ended. A service one of whose answers had a larger step, as with
 * events that carry several tokens, is not believed to have consecutive ids again by the process
 * that saw it.
 *
 * @since 0.2
 */
public final class EventSteps {
    private static final int MIN_STEPS = 2;
    private static final int UNEVEN = -1;

    private final Map<String, Integer> evenSteps = new HashMap<>();
    private Set<String> recorded = Set.of();
    private boolean othersRan;

    /** Records that processes ran before this one, which may have seen how ids rise. */
    public void othersRan() {
        othersRan = true;
    }

    /**
     * Takes in which services were known to have larger steps.
     *
     * @param services their names; empty if there is no record
     */
    public void recorded(Set<String> services) {
        recorded = Set.copyOf(services);
    }

    /**
     * Records two events that follow one another within an answer.
     *
     * @param service the service
     * @param one true if the id of the second is one above that of the first
     */
    public void seen(String service, boolean one) {
        evenSteps.merge(
                service,
                one ? 1 : UNEVEN,
                (before, now) ->
                        before == UNEVEN || now == UNEVEN
                                ? UNEVEN
                                : Math.min(MIN_STEPS, before + 1));
    }

    /**
     * Returns whether an event is missing where an id is more than one above the id before it.
     *
     * @param service the service
     * @return false if a step was larger, or too few are known
     */
    public boolean areConsecutive(String service) {
        int seen = evenSteps.getOrDefault(service, 0);
        boolean believed = othersRan && !recorded.contains(service);
        return seen >= MIN_STEPS || (believed && seen != UNEVEN);
    }

    /**
     * Returns the services that are known to have larger steps.
     *
     * @return their names
     */
    public Set<String> uneven() {
        Set<String> services = new HashSet<>(recorded);
        evenSteps.forEach(
                (service, seen) -> {
                    if (seen == UNEVEN) {
                        services.add(service);
                    } else if (seen >= MIN_STEPS) {
                        services.remove(service);
                    }
                });
        return Set.copyOf(services);
    }
}
