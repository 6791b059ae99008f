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
 * Whether events are missing can be told only where an answer resumes the stream and the ids of its
 * service are consecutive.
 *
 * @since 0.2
 */
public final class EventOrder {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,40}");

    private final EventSteps steps;
    private final String service;
    private final String resumedAfter;
    private boolean answerBegins = true;
    private String first = "";
    private String last;

    /** How an event follows those before it. */
    public enum Position {
        /** It may be the next one. */
        NEXT,
        /** It has been delivered, or belongs to another run. */
        REPEATED,
        /** Events before it are missing: it begins an answer, and ids are consecutive. */
        AFTER_A_GAP
    }

    /**
     * Creates the order of a stream.
     *
     * @param steps how the ids of each service rise
     * @param service the service that the stream comes from
     * @param resumedAfter id of the last event that the caller had before; empty if none
     */
    public EventOrder(EventSteps steps, String service, String resumedAfter) {
        this.steps = steps;
        this.service = service;
        this.resumedAfter = resumedAfter;
        this.last = resumedAfter;
    }

    /** Begins with the answer of another attempt. */
    public void answerBegins() {
        answerBegins = true;
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
        Position position = last.isEmpty() ? Position.NEXT : after(eventId);
        if (position == Position.NEXT) {
            record(eventId);
        }
        return position;
    }

    private void record(String eventId) {
        if (first.isEmpty() && resumedAfter.isEmpty()) {
            first = eventId;
        }
        last = eventId;
        answerBegins = false;
    }

    private Position after(String eventId) {
        Optional<BigInteger> before = number(last);
        Optional<BigInteger> now = number(eventId);
        if (before.isEmpty() || now.isEmpty()) {
            boolean same = eventId.equals(last) || eventId.equals(first);
            return same ? Position.REPEATED : Position.NEXT;
        }
        BigInteger step = now.get().subtract(before.get());
        if (step.signum() <= 0) {
            return Position.REPEATED;
        }
        boolean one = step.equals(BigInteger.ONE);
        if (answerBegins) {
            boolean gap = !one && steps.areConsecutive(service);
            return gap ? Position.AFTER_A_GAP : Position.NEXT;
        }
        steps.seen(service, one);
        return Position.NEXT;
    }

    private static Optional<BigInteger> number(String id) {
        return NUMBER.matcher(id).matches() ? Optional.of(new BigInteger(id)) : Optional.empty();
    }
}
