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
package io.trailladder.cli.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks at the upstreams that streams go on only at a version that may have begun them. */
final class StreamCheck {
    /** The number of streams that may hold events of two versions. */
    static final int MAX_JOINED = 2;

    private final Map<String, Set<String>> begun = new HashMap<>();
    private final List<String> joined = new ArrayList<>();
    private int resumed;

    /** Records that an upstream runs a stream from its beginning. */
    synchronized void began(String attempt, String version) {
        begun.computeIfAbsent(attempt, id -> new HashSet<>()).add(version);
    }

    /** Records that an upstream goes on with a stream that an attempt began. */
    synchronized void resumed(String attempt, String version) {
        resumed++;
        Set<String> versions = begun.getOrDefault(attempt, Set.of(version));
        if (!versions.contains(version)) {
            joined.add(attempt + ": began at " + versions + " and goes on at " + version);
        }
    }

    /** Returns the streams that went on at another version. */
    synchronized List<String> joined() {
        return List.copyOf(joined);
    }

    /** Returns how often a stream went on. */
    synchronized int resumed() {
        return resumed;
    }
}
