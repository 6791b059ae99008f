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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Example;

class ListFreshnessTest {
    private static final long CONFIRMED = 10_000;
    private static final long LATER = CONFIRMED + ListFreshness.MAX_CONFIRMATION_GAP_MILLIS + 1;

    private static final long FORGOTTEN = CONFIRMED + ListFreshness.MAX_ISOLATION_MILLIS + 1;

    private long lastTickMillis = 1_000;
    private final ListFreshness freshness = new ListFreshness("own", 1_000);

    /** Ticks as often as processes do until a time. */
    private void tickUntil(long untilMillis) {
        for (long now = lastTickMillis; now <= untilMillis; now += 200) {
            freshness.tick(now);
        }
        freshness.tick(untilMillis);
        lastTickMillis = untilMillis;
    }

    @Example
    void aListThatWasNeverConfirmedIsNotCurrent() {
        tickUntil(CONFIRMED);
        assertEquals(1_000, freshness.currentUntilMillis(CONFIRMED));
    }

    @Example
    void aConfirmedListIsCurrentForAWhile() {
        tickUntil(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED - 100);
        freshness.confirmed(CONFIRMED);
        tickUntil(LATER);
        assertEquals(LATER - 1, freshness.currentUntilMillis(LATER - 1));
        assertEquals(CONFIRMED, freshness.currentUntilMillis(LATER));
    }

    /** Guards against a process that trusts its list for as long after it lost all peers. */
    @Example
    void aListIsNotCurrentIfAPeerWasLostSinceItWasConfirmed() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        tickUntil(CONFIRMED + 1_200);
        assertEquals(CONFIRMED, freshness.currentUntilMillis(CONFIRMED + 1_200));
        freshness.confirmed(CONFIRMED + 1_300);
        tickUntil(CONFIRMED + 1_400);
        assertEquals(CONFIRMED + 1_400, freshness.currentUntilMillis(CONFIRMED + 1_400));
    }

    /** Guards against streams refused by all processes while the store answers none of them. */
    @Example
    void aListIsCurrentWithoutTheStoreWhileAllPeersRespond() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        tickUntil(LATER);
        assertEquals(LATER, freshness.currentUntilMillis(LATER));
    }

    /** Guards against a process that was frozen and trusts the list of before. */
    @Example
    void aListIsNotCurrentAfterAPauseUntilItIsConfirmed() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        assertEquals(CONFIRMED, freshness.currentUntilMillis(LATER));
        freshness.tick(LATER);
        assertEquals(CONFIRMED, freshness.currentUntilMillis(LATER));
        freshness.confirmed(LATER + 1);
        assertEquals(LATER + 1, freshness.currentUntilMillis(LATER + 1));
    }

    /** Guards against a leaf that trusts the list of a hub that is cut off. */
    @Example
    void aListIsNotCurrentThatItsFeederDoesNotTrust() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.feederOutdated(CONFIRMED - 500, CONFIRMED);
        assertEquals(CONFIRMED - 500, freshness.currentUntilMillis(CONFIRMED));
    }

    /** Guards against a peer forgotten that still serves by its last list. */
    @Example
    void aSilentPeerIsNotForgottenByAProcessThatIsIsolated() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        long now = CONFIRMED + 2 * ListFreshness.MAX_SILENCE_MILLIS;
        tickUntil(now);
        assertEquals(CONFIRMED, freshness.currentUntilMillis(now));
        freshness.confirmed(now);
        tickUntil(now + 200);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }

    /** Guards against silences that processes tell each other for ever. */
    @Example
    void aSilenceIsNotTakenUpAgainWhenItIsForgotten() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        long now = CONFIRMED + ListFreshness.MAX_SILENCE_MILLIS;
        assertEquals(Map.of(), freshness.silences(now));
        freshness.learnedSilence("q", CONFIRMED, now);
        freshness.confirmed(now);
        tickUntil(now + 1);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }

    @Example
    void aPeerThatIsHeardAgainCountsUntilItHasToldItsStreams() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        freshness.peerHeard("p", LATER);
        assertEquals(CONFIRMED, freshness.silentSinceMillis());
        freshness.confirmed(LATER + 2_000);
        tickUntil(LATER + 2_000);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }

    /** Guards against a process that takes itself for silent, and so refuses streams for long. */
    @Example
    void aProcessIsNotSilentToItself() {
        tickUntil(CONFIRMED);
        freshness.learnedSilence("own", CONFIRMED - 500, CONFIRMED);
        assertEquals(Long.MAX_VALUE, freshness.silentSinceMillis());
    }

    /** Guards against a silence that is told on though its peer is heard elsewhere. */
    @Example
    void aSilenceIsOverWhenItIsNotToldAnyMore() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.learnedSilence("p", CONFIRMED - 500, CONFIRMED);
        tickUntil(CONFIRMED + 2_000);
        assertEquals(Map.of("p", CONFIRMED - 500), freshness.silences(CONFIRMED + 2_000));
        tickUntil(CONFIRMED + 2_200);
        assertEquals(Map.of(), freshness.silences(CONFIRMED + 2_200));
    }

    /** Guards against processes that tell each other for long of a peer that they hear again. */
    @Example
    void aSilenceIsNotLearnedOfAPeerThatWasHeardSince() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerSilent("p", CONFIRMED);
        freshness.peerHeard("p", CONFIRMED + 3_000);
        freshness.learnedSilence("p", CONFIRMED, CONFIRMED + 3_100);
        assertEquals(Map.of(), freshness.silences(CONFIRMED + 3_100));
    }

    /** Guards against a process that others have forgotten and that begins streams. */
    @Example
    void aProcessIsIsolatedThatHearsNeitherTheStoreNorItsPeers() {
        isolate();
        assertFalse(freshness.isIsolated(FORGOTTEN - 1));
        assertTrue(freshness.isIsolated(FORGOTTEN));
    }

    /** Guards against a process that refuses streams though others know of it. */
    @Example
    void aProcessIsNotIsolatedOnceItHearsTheStoreOrAPeer() {
        isolate();
        freshness.confirmed(CONFIRMED + 100);
        assertFalse(freshness.isIsolated(FORGOTTEN));
        freshness.peerHeard("p", FORGOTTEN);
        assertFalse(freshness.isIsolated(FORGOTTEN + 100));
    }

    /** Guards against the same where the other processes have stopped, or there is none. */
    @Example
    void aProcessThatHasLostNoPeerIsNotIsolated() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED);
        freshness.peerHeard("p", CONFIRMED);
        tickUntil(FORGOTTEN);
        assertFalse(freshness.isIsolated(FORGOTTEN));
    }

    /** Loses the store and both peers. */
    private void isolate() {
        tickUntil(CONFIRMED);
        freshness.confirmed(CONFIRMED - 200);
        freshness.peerHeard("p", CONFIRMED);
        freshness.peerHeard("q", CONFIRMED - 300);
        freshness.peerSilent("p", CONFIRMED);
        freshness.peerSilent("q", CONFIRMED - 300);
        tickUntil(FORGOTTEN);
    }
}
