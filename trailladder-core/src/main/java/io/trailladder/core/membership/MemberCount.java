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
 * Works out how many processes there are, from how many each has read in the store itself.
 *
 * <p>A process passes on what it has read, never what a peer told: two processes would else keep a
 * number alive that nobody reads any more, and share limits with processes that do not exist.
 *
 * <pre>{@code
 * int count = MemberCount.of(new Reading(8, true), toldByPeers, heard);
 * }</pre>
 *
 * @since 0.3
 */
public final class MemberCount {
    private MemberCount() {}

    /**
     * How many processes one process has read.
     *
     * @param members the count, itself included; 0 if it has read none yet
     * @param current true if the store answers it, so that the count follows changes
     */
    public record Reading(int members, boolean current) {
        private boolean isKnown() {
            return members > 0;
        }
    }

    /**
     * Works the count out. Readings of processes that the store does not answer count only if there
     * are no others.
     *
     * @param own what this process has read
     * @param told what its peers have read
     * @param heard how many processes' figures this one knows, its own included
     * @return a count of at least 1
     */
    public static int of(Reading own, Collection<Reading> told, int heard) {
        int current = largest(own, told, Reading::current);
        int listed = current > 0 ? current : largest(own, told, reading -> true);
        return Math.max(1, Math.max(listed, heard));
    }

    private static int largest(
            Reading own, Collection<Reading> told, Predicate<Reading> condition) {
        return Stream.concat(Stream.of(own), told.stream())
                .filter(Reading::isKnown)
                .filter(condition)
                .mapToInt(Reading::members)
                .max()
                .orElse(0);
    }
}
