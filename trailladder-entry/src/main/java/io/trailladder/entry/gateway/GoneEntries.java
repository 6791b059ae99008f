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
final class GoneEntries {
    /** Most that are remembered: several times the upstreams that are lost with a data centre. */
    private static final int MOST = 4_000;

    private final Map<String, byte[]> gone = new RecentMap<>(MOST);
    private final Map<String, byte[]> doubted = new HashMap<>();

    /** Records that an entry went. */
    void went(String id, byte[] lastValue) {
        gone.put(id, lastValue);
    }

    /** Records that an entry was written. */
    void written(String id) {
        gone.remove(id);
        doubted.remove(id);
    }

    /** Doubts all that went in the history before: a copy of it may hold them. */
    void historyReplaced() {
        doubted.putAll(gone);
    }

    /** Tells whether an entry may only be one that a copy still holds. */
    boolean isDoubted(String id, byte[] value) {
        byte[] last = doubted.get(id);
        return last != null && Arrays.equals(last, value);
    }

    /** Believes the store in all from now on. */
    void endDoubt() {
        doubted.clear();
    }
}
