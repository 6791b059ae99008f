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
 * Store entries of one kind that cannot be used. Each is logged when its fault becomes known, up to
 * a maximum rate, since another writer may invalidate many at once.
 */
final class UnusableEntries {
    private final String kind;
    private final Map<String, String> faults = new HashMap<>();
    private final LogRate logRate = new LogRate();

    /**
     * Creates an empty collection.
     *
     * @param kind what a valid entry is, for the log
     */
    UnusableEntries(String kind) {
        this.kind = kind;
    }

    /**
     * Records the fault of an entry.
     *
     * @return whether it was logged
     */
    boolean add(String id, long revision, String fault, long nowMillis) {
        if (fault.equals(faults.put(id, fault)) || !logRate.allows(nowMillis)) {
            return false;
        }
        Logger.warn(
                "store entry {} at revision {} is not a valid {}: {}", id, revision, kind, fault);
        return true;
    }

    /** Records that an entry is valid or has been removed. */
    void remove(String id) {
        faults.remove(id);
    }

    /** Removes all entries except the given ones. */
    void retain(Collection<String> ids) {
        faults.keySet().retainAll(ids);
    }

    int size() {
        return faults.size();
    }
}
