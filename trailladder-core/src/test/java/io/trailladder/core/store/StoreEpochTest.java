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

import io.trailladder.core.store.StoreEpoch.Named;
import net.jqwik.api.Example;

/** Which epochs that the store or a peer names are taken over. */
class StoreEpochTest {
    private final StoreEpoch epoch = new StoreEpoch();

    @Example
    void storeThatNamesNoneHasOneHistory() {
        assertEquals(Named.CURRENT, epoch.named(0));
        assertEquals(0, epoch.current());
    }

    @Example
    void firstIsNoChange() {
        assertEquals(Named.CURRENT, epoch.named(7));
        assertEquals(Named.NEW, epoch.named(8));
        assertEquals(Named.CURRENT, epoch.named(8));
    }

    @Example
    void earlierOneChangesNothing() {
        epoch.named(7);
        assertEquals(Named.OLD, epoch.named(6));
        assertEquals(7, epoch.current());
    }

    @Example
    void severalMayPassUnheard() {
        epoch.named(7);
        assertEquals(Named.NEW, epoch.named(7 + StoreEpoch.MOST_AHEAD));
    }

    @Example
    void whatCannotBeTrueChangesNothing() {
        assertEquals(Named.UNSOUND, epoch.named(-1));
        assertEquals(Named.UNSOUND, epoch.named(StoreEpoch.HIGHEST + 1));
        epoch.named(7);
        assertEquals(Named.UNSOUND, epoch.named(8 + StoreEpoch.MOST_AHEAD));
        assertEquals(7, epoch.current());
    }
}
