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
package io.trailladder.core.membership;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Computes the number of processes from the numbers that each process has read from the store.
 *
 * <p>A process passes on only what it has read itself, never what a peer reported. Otherwise two
 * processes could keep an outdated number alive, and share limits with processes that do not exist.
 *
 * <pre>{@code
 * int count = MemberCount.of(new Reading(8, true), reported, received);
 * }</pre>
 *
 * @since 0.3
 */
public final class MemberCount {
    private MemberCount() {}

    /**
     * The number of processes that one process has read from the store.
     *
     * @param members the number, itself included; 0 if it has read none yet
     * @param current true if the store answers the process, so that the number follows changes
     */
    public record Reading(int members, boolean current) {
        /**
         * Returns whether the process has read the number.
         *
         * @return false until then
         */
        public boolean isKnown() {
            return members > 0;
        }
    }

    /**
     * Returns the number of processes. Readings of processes that the store does not answer count
     * only if there are no others.
     *
     * @param own the reading of this process
     * @param reported the readings of its peers
     * @param received the number of processes whose figures this process has, its own included
     * @return a count of at least 1
     */
    public static int of(Reading own, Collection<Reading> reported, int received) {
        int current = largest(own, reported, Reading::current);
        int listed = current > 0 ? current : largest(own, reported, reading -> true);
        return Math.max(1, Math.max(listed, received));
    }

    private static int largest(
            Reading own, Collection<Reading> reported, Predicate<Reading> condition) {
        return Stream.concat(Stream.of(own), reported.stream())
                .filter(Reading::isKnown)
                .filter(condition)
                .mapToInt(Reading::members)
                .max()
                .orElse(0);
    }
}
