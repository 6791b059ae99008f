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
package io.trailladder.entry.gateway;

import io.trailladder.core.RecentMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Entries of upstreams that went. A store that comes back from a copy may list them again as they
 * were; such an entry is believed only once its upstream has written it anew.
 */
final class RemovedEntries {
    /** Most that are remembered: several times the upstreams that are lost with a data centre. */
    private static final int MAX_ENTRIES = 4_000;

    private final Map<String, byte[]> removed = new RecentMap<>(MAX_ENTRIES);
    private final Map<String, byte[]> suspect = new HashMap<>();

    /** Records that an entry went. */
    void recordRemoved(String id, byte[] lastValue) {
        removed.put(id, lastValue);
    }

    /** Records that an entry was written. */
    void recordWritten(String id) {
        removed.remove(id);
        suspect.remove(id);
    }

    /** Doubts all that went in the history before: a copy of it may hold them. */
    void historyReplaced() {
        suspect.putAll(removed);
    }

    /** Tells whether an entry may only be one that a copy still holds. */
    boolean isSuspect(String id, byte[] value) {
        byte[] last = suspect.get(id);
        return last != null && Arrays.equals(last, value);
    }

    /** Believes the store in all from now on. */
    void clearSuspects() {
        suspect.clear();
    }
}
