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
package io.trailladder.core.pipeline;

import java.util.List;

/**
 * What is known of a model request's size.
 *
 * @param tokensIn length of the prompt in tokens
 * @param tokensOut most tokens that come out
 * @param blocks the parts of the prompt in order; none if not told
 * @since 0.2
 */
public record Prompt(int tokensIn, int tokensOut, List<PromptBlock> blocks) {
    /** The prompt of a request that has none. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    /** Copies the blocks. */
    public Prompt {
        blocks = List.copyOf(blocks);
    }

    /**
     * Returns the name of what requests share the most: the last part but one, or the only part.
     *
     * @return a part's name; empty if there are no parts
     */
    public String sharedBlockId() {
        if (blocks.isEmpty()) {
            return "";
        }
        return blocks.get(Math.max(0, blocks.size() - 2)).id();
    }
}
