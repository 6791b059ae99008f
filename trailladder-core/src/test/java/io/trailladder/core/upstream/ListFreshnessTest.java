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

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;

class ListFreshnessTest {
    private static final long CONFIRMED = 10_000;
    private static final long LATER = CONFIRMED + ListFreshness.MAX_CONFIRMATION_GAP_MILLIS + 1;

    private final ListFreshness freshness = new ListFreshness(1_000);

    @Example
    void aListThatWasNeverConfirmedIsNotCurrent() {
        assertEquals(1_000, freshness.currentUntilMillis(CONFIRMED));
    }

    @Example
    void aConfirmedListIsCurrentForAWhile() {
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        assertEquals(LATER - 1, freshness.currentUntilMillis(LATER - 1));
        assertEquals(CONFIRMED, freshness.currentUntilMillis(LATER));
    }

    /** Guards against streams refused by all processes while the store answers none of them. */
    @Example
    void aListIsCurrentWithoutTheStoreWhileAllPeersRespond() {
        freshness.confirmed(CONFIRMED);
        assertEquals(LATER, freshness.currentUntilMillis(LATER));
    }

    /** Guards against a peer forgotten that still serves by its last list. */
    @Example
    void aSilentPeerIsNotForgottenByAProcessThatIsIsolated() {
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        long now = CONFIRMED + 2 * ListFreshness.MAX_SILENCE_MILLIS;
        freshness.prune(now);
        assertEquals(CONFIRMED, freshness.currentUntilMillis(now));
        freshness.confirmed(now);
        freshness.prune(now);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }

    @Example
    void aPeerThatIsHeardAgainCountsUntilItHasToldItsStreams() {
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        freshness.peerHeard("p", LATER);
        assertEquals(CONFIRMED, freshness.silentSinceMillis());
        freshness.confirmed(LATER + 2_000);
        freshness.prune(LATER + 2_000);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }
}
