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
package io.trailladder.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.store.StoreEpoch.Observation;
import net.jqwik.api.Example;

/** Which epochs that the store or a peer names are taken over. */
class StoreEpochTest {
    private final StoreEpoch epoch = new StoreEpoch();

    @Example
    void storeThatNamesNoneHasOneHistory() {
        assertEquals(Observation.CURRENT, epoch.observe(0));
        assertEquals(0, epoch.current());
    }

    @Example
    void firstIsNoChange() {
        assertEquals(Observation.CURRENT, epoch.observe(7));
        assertEquals(Observation.NEW, epoch.observe(8));
        assertEquals(Observation.CURRENT, epoch.observe(8));
    }

    @Example
    void earlierOneChangesNothing() {
        epoch.observe(7);
        assertEquals(Observation.OLD, epoch.observe(6));
        assertEquals(7, epoch.current());
    }

    @Example
    void skippedEpochsAreAllowedUpToTheMaximum() {
        epoch.observe(7);
        assertEquals(Observation.NEW, epoch.observe(7 + StoreEpoch.MAX_AHEAD));
    }

    @Example
    void invalidEpochChangesNothing() {
        assertEquals(Observation.UNSOUND, epoch.observe(-1));
        assertEquals(Observation.UNSOUND, epoch.observe(StoreEpoch.MAX_EPOCH + 1));
        epoch.observe(7);
        assertEquals(Observation.UNSOUND, epoch.observe(8 + StoreEpoch.MAX_AHEAD));
        assertEquals(7, epoch.current());
    }
}
