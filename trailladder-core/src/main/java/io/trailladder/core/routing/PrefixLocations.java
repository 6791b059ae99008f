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
package io.trailladder.core.routing;

import io.trailladder.core.RecentMap;
import java.util.Map;

/**
 * Remembers which upstream was last sent which prompt prefix, in bounded memory.
 *
 * <p>A hint only: an engine may have dropped the prefix since.
 *
 * @since 0.1
 */
public final class PrefixLocations {
    private final Map<Location, Boolean> locations;

    /** A prefix at an upstream. */
    private record Location(long prefix, String upstream) {}

    /**
     * Creates a memory.
     *
     * @param capacity how many prefixes are remembered; the oldest are forgotten first
     */
    public PrefixLocations(int capacity) {
        locations = new RecentMap<>(capacity);
    }

    /**
     * Records that an upstream was sent a prompt.
     *
     * @param blocks the prompt's blocks
     * @param upstream the upstream's name
     */
    public void sent(PromptBlocks blocks, String upstream) {
        for (int i = 0; i < blocks.size(); i++) {
            locations.put(new Location(blocks.hash(i), upstream), Boolean.TRUE);
        }
    }

    /**
     * Records that an upstream dropped a prefix.
     *
     * @param prefix the chained hash of the prefix
     * @param upstream the upstream's name
     */
    public void dropped(long prefix, String upstream) {
        locations.remove(new Location(prefix, upstream));
    }

    /**
     * Returns how many leading tokens of a prompt an upstream probably holds.
     *
     * @param blocks the prompt's blocks
     * @param upstream the upstream's name
     * @return tokens, 0 if none
     */
    public int cachedTokens(PromptBlocks blocks, String upstream) {
        int low = 0;
        int high = blocks.size();
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (locations.containsKey(new Location(blocks.hash(middle - 1), upstream))) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return blocks.tokensOf(low);
    }
}
