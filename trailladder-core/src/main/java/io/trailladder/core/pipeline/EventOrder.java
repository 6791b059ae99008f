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

import java.math.BigInteger;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The order of the events of one stream, by their ids.
 *
 * <p>Ids that are whole numbers rise. Of other ids it is known only that no two are the same; such
 * an id is compared with the last one and with the first one, with which a new run would begin.
 *
 * @since 0.2
 */
public final class EventOrder {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,40}");

    private final String resumedAfter;
    private String first = "";
    private String last;

    /** How an event follows those before it. */
    public enum Position {
        /** It may be the next one. */
        NEXT,
        /** It has been delivered, or belongs to another run. */
        REPEATED
    }

    /**
     * Creates the order of a stream.
     *
     * @param resumedAfter id of the last event that the caller had before; empty if none
     */
    public EventOrder(String resumedAfter) {
        this.resumedAfter = resumedAfter;
        this.last = resumedAfter;
    }

    /**
     * Returns how an event follows those before it, and records it if it may be the next one.
     *
     * @param eventId its id; empty if it has none, which is in order anywhere
     * @return its position
     */
    public Position received(String eventId) {
        if (eventId.isEmpty()) {
            return Position.NEXT;
        }
        if (!last.isEmpty() && !follows(eventId)) {
            return Position.REPEATED;
        }
        if (first.isEmpty() && resumedAfter.isEmpty()) {
            first = eventId;
        }
        last = eventId;
        return Position.NEXT;
    }

    private boolean follows(String eventId) {
        Optional<BigInteger> before = number(last);
        Optional<BigInteger> now = number(eventId);
        if (before.isPresent() && now.isPresent()) {
            return now.get().compareTo(before.get()) > 0;
        }
        return !eventId.equals(last) && !eventId.equals(first);
    }

    private static Optional<BigInteger> number(String id) {
        return NUMBER.matcher(id).matches() ? Optional.of(new BigInteger(id)) : Optional.empty();
    }
}
