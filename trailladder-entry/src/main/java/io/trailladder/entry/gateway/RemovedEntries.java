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
 * Store entries of upstreams that were removed. A store that is restored from a backup may list
 * them again as they were; such an entry counts only once its upstream has written it again.
 */
final class RemovedEntries {
    /**
     * Maximum number of entries kept: several times the upstreams that are lost with a data centre.
     */
    private static final int MAX_ENTRIES = 4_000;

    private final Map<String, byte[]> removed = new RecentMap<>(MAX_ENTRIES);
    private final Map<String, byte[]> suspect = new HashMap<>();

    /** Records that an entry was removed. */
    void recordRemoved(String id, byte[] lastValue) {
        removed.put(id, lastValue);
    }

    /** Records that an entry was written. */
    void recordWritten(String id) {
        removed.remove(id);
        suspect.remove(id);
    }

    /**
     * Marks all entries removed in the previous history as suspect: a backup of it may contain
     * them.
     */
    void historyReplaced() {
        suspect.putAll(removed);
    }

    /** Returns whether an entry may exist only because it was restored from a backup. */
    boolean isSuspect(String id, byte[] value) {
        byte[] last = suspect.get(id);
        return last != null && Arrays.equals(last, value);
    }

    /** Accepts all entries of the store from now on. */
    void clearSuspects() {
        suspect.clear();
    }
}
