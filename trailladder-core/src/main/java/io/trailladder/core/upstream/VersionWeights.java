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

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns versions to ids by rendezvous hashing with the slots of each version as its weight. Of
 * all ids, a version is assigned the part that it has of the slots; if the slots change, ids move
 * only from or to the versions that lost or gained some.
 */
final class VersionWeights {
    private static final double HASH_RANGE = 1L << 53;
    private static final long HASH_START = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;

    private VersionWeights() {}

    /** Returns the slots of each version of some upstreams. */
    static Map<String, Integer> slots(Iterable<Upstream> upstreams) {
        Map<String, Integer> slots = new HashMap<>();
        for (Upstream upstream : upstreams) {
            slots.merge(upstream.version(), Math.max(1, upstream.slots()), Integer::sum);
        }
        return slots;
    }

    /** Returns the version that an id is assigned; empty if no version has slots. */
    static Optional<String> assigned(String id, Map<String, Integer> slots) {
        String first = null;
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Integer> version : slots.entrySet()) {
            double delay = delay(id, version.getKey(), version.getValue());
            if (delay < least) {
                first = version.getKey();
                least = delay;
            }
        }
        return Optional.ofNullable(first);
    }

    /** Returns an exponential variate whose rate is the number of slots; the smallest wins. */
    private static double delay(String id, String version, int slots) {
        return slots == 0
                ? Double.POSITIVE_INFINITY
                : -StrictMath.log(uniform(id, version)) / slots;
    }

    /** Returns a number between 0, exclusive, and 1 that is the same in every process. */
    private static double uniform(String id, String version) {
        return ((hash(id + '\n' + version) >>> 11) + 0.5) / HASH_RANGE;
    }

    /** Returns a hash that is the same in every process. */
    static long hash(String text) {
        long hash = HASH_START;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * MIX_FIRST;
        hash = (hash ^ (hash >>> 33)) * MIX_SECOND;
        return hash ^ (hash >>> 33);
    }
}
