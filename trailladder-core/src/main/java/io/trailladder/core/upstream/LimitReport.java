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
 * What a process believes of an upstream's limit, as it is told to peers.
 *
 * @param upstream the upstream's name
 * @param startedMillis which life of it, by the time of its start; 0 if not told
 * @param limit the limit it names, or that it names none any more
 * @param sentMillis when the request was sent whose answer said so, in milliseconds
 * @param receivedMillis when that answer came, in milliseconds
 * @param usedMillis when a request was last sent to it, as far as is known, by the agreed time of
 *     day, so that the same use is the same to all
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
     * Returns the report as one that is older: what is told again and again, round in a circle,
     * must not seem later than it is by the ways that it took.
     *
     * @param millis by how much
     * @return a copy
     */
    LimitReport agedBy(long millis) {
        return new LimitReport(
                upstream, startedMillis, limit, sentMillis - millis, receivedMillis - millis, usedMillis);
    }

    /** Returns the report with another time of the last use. */
    LimitReport usedAt(long millis) {
        return new LimitReport(upstream, startedMillis, limit, sentMillis, receivedMillis, millis);
    }

    /**
     * Tells whether this is to be believed in place of something else of the same life. Answers
     * overtake one another, so one without a limit ends a limit only if its request was sent after
     * the last answer that named it had come.
     *
     * @param known what is believed
     * @return true if this is the later word, or the safer one where that cannot be told
     */
    boolean replaces(LimitReport known) {
        if (limit.isNamed() && known.limit.isNamed()) {
            boolean lowerAtOnce =
                    receivedMillis == known.receivedMillis && limit.perSecond() < known.limit.perSecond();
            return receivedMillis > known.receivedMillis || lowerAtOnce;
        }
        if (limit.isNamed()) {
            return known.sentMillis < receivedMillis;
        }
        return sentMillis >= known.receivedMillis;
    }
}
