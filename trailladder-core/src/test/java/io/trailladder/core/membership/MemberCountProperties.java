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

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.membership.MemberCount.Reading;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** The count of processes follows what they read, and forgets what nobody reads any more. */
class MemberCountProperties {
    private static final Reading UNREAD = new Reading(0, true);

    /** Processes that all tell each other what they have read. */
    private static final class Cluster {
        private final Reading[] readings;
        private final int[] received;

        Cluster(int size, int members) {
            readings = new Reading[size];
            received = new int[size];
            Arrays.fill(readings, new Reading(members, true));
            Arrays.fill(received, members);
        }

        int count(int process) {
            List<Reading> told = new ArrayList<>();
            for (int i = 0; i < readings.length; i++) {
                if (i != process) {
                    told.add(readings[i]);
                }
            }
            return MemberCount.of(readings[process], told, received[process]);
        }
    }

    @Property(tries = 500, seed = "20261202")
    void countThatWasOnceTooHighIsNotRetained(
            @ForAll @IntRange(min = 6, max = 20) int size, @ForAll long seed) {
        Cluster cluster = new Cluster(size, size);
        Random random = new Random(seed);
        for (int round = 0; round < 10; round++) {
            int process = random.nextInt(size);
            cluster.received[process] = size * 2;
            cluster.readings[process] = new Reading(size + 5, true);
            assertEquals(size * 2, Math.max(size + 5, cluster.count(process)));
            cluster.received[process] = size;
            cluster.readings[process] = new Reading(size, true);
        }
        for (int process = 0; process < size; process++) {
            assertEquals(size, cluster.count(process));
        }
    }

    @Example
    void processThatHasReadNothingUsesTheReadingsOfItsPeers() {
        assertEquals(7, MemberCount.of(UNREAD, List.of(new Reading(7, true)), 1));
        assertEquals(1, MemberCount.of(UNREAD, List.of(), 1));
    }

    @Example
    void oldReadingOfAProcessWithoutTheStoreIsReplaced() {
        Reading old = new Reading(12, false);
        assertEquals(8, MemberCount.of(old, List.of(new Reading(8, true)), 8));
        assertEquals(12, MemberCount.of(old, List.of(), 1));
    }

    @Example
    void processesWithReceivedFiguresCountBeforeTheyAreListed() {
        assertEquals(9, MemberCount.of(new Reading(8, true), List.of(), 9));
    }
}
