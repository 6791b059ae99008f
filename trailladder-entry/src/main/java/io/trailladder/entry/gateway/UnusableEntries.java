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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * The entries that name no upstream because they cannot be used. Each is logged when its fault
 * becomes known, within a bound, since another writer may spoil many at once.
 */
final class UnusableEntries {
    /** Most lines in {@link #LOG_INTERVAL_MILLIS}. */
    private static final int MAX_LOGGED_PER_INTERVAL = 20;

    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private final Map<String, String> faults = new HashMap<>();
    private long loggedSinceMillis;
    private int logged;

    /** Records what is wrong with an entry. */
    void add(String id, long revision, String fault, long nowMillis) {
        if (fault.equals(faults.put(id, fault))) {
            return;
        }
        if (nowMillis - loggedSinceMillis >= LOG_INTERVAL_MILLIS) {
            loggedSinceMillis = nowMillis;
            logged = 0;
        }
        if (logged++ < MAX_LOGGED_PER_INTERVAL) {
            Logger.warn("entry {} at revision {} names no upstream: {}", id, revision, fault);
        }
    }

    /** Records that an entry is sound, or gone. */
    void remove(String id) {
        faults.remove(id);
    }

    /** Forgets all entries but some. */
    void retain(Collection<String> ids) {
        faults.keySet().retainAll(ids);
    }

    int size() {
        return faults.size();
    }
}
