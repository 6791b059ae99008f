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
package io.trailladder.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.duty.LeaderElection.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Who asks to lead first once the leader's key is gone: hubs near the store, whose answers take 5
 * to 8 ms, or far ones with 21 ms and more, each with a patience of its own of 100 to 600 ms.
 */
class ElectionDelayTest {
    private static final long TTL_MILLIS = 3_000;
    private static final long STEP_MILLIS = 100;

    private final SplittableRandom random = new SplittableRandom(20_261_203);

    private LeaderElection hub(int answerMillis) {
        ElectionDelay patience = new ElectionDelay();
        for (int i = 0; i < 20; i++) {
            int busy = random.nextInt(3) == 0 ? random.nextInt(200) : random.nextInt(3);
            patience.answered((long) answerMillis + busy);
        }
        int own = 100 + random.nextInt(500);
        LeaderElection election =
                new LeaderElection(TTL_MILLIS, () -> own + patience.extraMillis(), 2 * TTL_MILLIS);
        election.keyRemoved(0);
        return election;
    }

    /** Returns the time at which the first of some hubs asks. */
    private static long firstRequestMillis(List<LeaderElection> hubs) {
        for (long now = 0; now < 10_000; now += STEP_MILLIS) {
            for (LeaderElection hub : hubs) {
                if (hub.next(now) == Step.GRANT) {
                    return now;
                }
            }
        }
        return Long.MAX_VALUE;
    }

    @Property(tries = 300, seed = "20261203")
    void nearHubRequestsTheLeaseBeforeAllFarOnes(@ForAll @IntRange(min = 1, max = 16) int far) {
        List<LeaderElection> there = new ArrayList<>();
        for (int i = 0; i < far; i++) {
            there.add(hub(21));
        }
        assertTrue(firstRequestMillis(List.of(hub(5))) <= firstRequestMillis(there));
    }

    @Example
    void farHubsRequestTheLeaseSoonIfThereIsNoNearOne() {
        List<LeaderElection> there = List.of(hub(21), hub(21), hub(21), hub(21));
        assertTrue(firstRequestMillis(there) <= 1_600, "asked at " + firstRequestMillis(there));
    }

    @Example
    void slowStoreDelaysNoProcessByMoreThanASecond() {
        assertTrue(firstRequestMillis(List.of(hub(4_000))) <= 1_700);
    }

    @Example
    void noDelayIsAddedBeforeTheFirstAnswer() {
        assertEquals(0, new ElectionDelay().extraMillis());
    }
}
