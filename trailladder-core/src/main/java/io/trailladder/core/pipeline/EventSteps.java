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
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How the ids of the events of each service rise, as seen within single answers of upstreams, and
 * as recorded by processes that have ended.
 *
 * <p>Ids need not be consecutive. An event is known to be missing only where each id was one above
 * the id before it. A service one of whose answers had a larger step, as with events that carry
 * several tokens, is never believed to have consecutive ids again.
 *
 * @since 0.2
 */
public final class EventSteps {
    private static final int MIN_STEPS = 2;
    private static final int UNEVEN = -1;

    private final Map<String, Integer> evenSteps = new HashMap<>();
    private boolean awaitsRecord;

    /** Takes ids for consecutive, unless larger steps were seen, until the record is known. */
    public void awaitRecord() {
        awaitsRecord = true;
    }

    /**
     * Takes in which services were known to have consecutive ids.
     *
     * @param services their names; empty if there is no record
     */
    public void recorded(Set<String> services) {
        awaitsRecord = false;
        for (String service : services) {
            evenSteps.merge(service, MIN_STEPS, (seen, known) -> seen == UNEVEN ? UNEVEN : known);
        }
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
     * @return false if any step was larger, or too few were seen and none are recorded
     */
    public boolean areConsecutive(String service) {
        int seen = evenSteps.getOrDefault(service, 0);
        return seen >= MIN_STEPS || (awaitsRecord && seen != UNEVEN);
    }

    /**
     * Returns the services whose ids are known to be consecutive.
     *
     * @return their names
     */
    public Set<String> consecutive() {
        return evenSteps.entrySet().stream()
                .filter(entry -> entry.getValue() >= MIN_STEPS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
