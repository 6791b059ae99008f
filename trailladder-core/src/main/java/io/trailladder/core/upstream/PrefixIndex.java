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

import io.trailladder.core.RecentMap;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import java.util.Map;

/**
 * Remembers which upstream read which prompt parts lately, in bounded memory. A hint only: the
 * upstream may have dropped a part since.
 *
 * @since 0.2
 */
public final class PrefixIndex {
    private final Map<CachedBlock, Integer> cachedBlocks;

    /** A prompt part at an upstream. */
    private record CachedBlock(
            String upstream,
            String block) { // written out: the methods that records get are linked at their first
        // call, which takes a
        // process that starts some 5 ms of processor time for each record
        @Override
        public boolean equals(Object other) {
            return other instanceof CachedBlock that
                    && upstream.equals(that.upstream)
                    && block.equals(that.block);
        }

        @Override
        public int hashCode() {
            return 31 * upstream.hashCode() + block.hashCode();
        }
    }

    /**
     * Creates an index.
     *
     * @param capacity how many parts are remembered; those unused for longest are forgotten first
     */
    public PrefixIndex(int capacity) {
        cachedBlocks = new RecentMap<>(capacity);
    }

    /**
     * Records that an upstream reads a prompt.
     *
     * @param upstream the upstream's name
     * @param prompt the prompt
     */
    public void recordPrompt(String upstream, Prompt prompt) {
        for (PromptBlock block : prompt.blocks()) {
            cachedBlocks.put(new CachedBlock(upstream, block.id()), block.tokens());
        }
    }

    /**
     * Returns how many leading tokens of a prompt an upstream probably holds.
     *
     * @param upstream the upstream's name
     * @param prompt the prompt
     * @return tokens
     */
    public int cachedTokens(String upstream, Prompt prompt) {
        int tokens = 0;
        for (PromptBlock block : prompt.blocks()) {
            if (cachedBlocks.get(new CachedBlock(upstream, block.id())) == null) {
                return tokens;
            }
            tokens += block.tokens();
        }
        return tokens;
    }
}
