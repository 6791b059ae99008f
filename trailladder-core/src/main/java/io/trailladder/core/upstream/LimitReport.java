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
package io.trailladder.core.upstream;

/**
 * What a process knows of an upstream's limit, as reported to peers.
 *
 * @param upstream the upstream's name
 * @param startedMillis when the upstream's incarnation started, in milliseconds since the epoch; 0
 *     if unknown
 * @param limit the limit that it names, or that it no longer names one
 * @param sentMillis when the request was sent whose answer reported this, in milliseconds
 * @param receivedMillis when that answer was received, in milliseconds
 * @param usedMillis when a request was last sent to it, as far as is known, in the agreed time of
 *     day, so that all processes identify the same use by the same value
 * @since 0.6
 */
public record LimitReport(
        String upstream,
        long startedMillis,
        LimitNotice limit,
        long sentMillis,
        long receivedMillis,
        long usedMillis) {

    /**
     * Returns a copy that is older. A report that peers forward repeatedly, possibly in a cycle,
     * must not appear newer because of the delay of the messages.
     *
     * @param millis by how much
     * @return a copy
     */
    LimitReport agedBy(long millis) {
        return new LimitReport(
                upstream,
                startedMillis,
                limit,
                sentMillis - millis,
                receivedMillis - millis,
                usedMillis);
    }

    /** Returns a copy with another time of the last use. */
    LimitReport usedAt(long millis) {
        return new LimitReport(upstream, startedMillis, limit, sentMillis, receivedMillis, millis);
    }

    /**
     * Returns whether this report replaces another one of the same incarnation. Answers may
     * overtake one another, so one without a limit ends a limit only if its request was sent after
     * the last answer that named the limit had been received.
     *
     * @param known the report known so far
     * @return true if this report is newer, or the safer one where the order is unknown
     */
    boolean replaces(LimitReport known) {
        if (limit.isNamed() && known.limit.isNamed()) {
            boolean lowerAtSameTime =
                    receivedMillis == known.receivedMillis
                            && limit.perSecond() < known.limit.perSecond();
            return receivedMillis > known.receivedMillis || lowerAtSameTime;
        }
        if (limit.isNamed()) {
            return known.sentMillis < receivedMillis;
        }
        return sentMillis >= known.receivedMillis;
    }
}
