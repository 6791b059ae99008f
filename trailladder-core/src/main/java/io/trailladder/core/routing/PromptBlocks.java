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

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * Identifies the prefixes of a prompt by a chain of block hashes.
 *
 * <p>Two prompts of one organisation and model share their first {@code n} hashes exactly if they
 * share their first {@code n} blocks. The organisation is part of the hash, so that equal prefixes
 * of different organisations differ.
 *
 * @since 0.1
 */
public final class PromptBlocks {
    /** Characters of a block, which are about 64 tokens. */
    public static final int BLOCK_CHARS = 256;

    /** Characters counted as one token when only the text is known. */
    public static final int CHARS_PER_TOKEN = 4;

    private static final int MAX_BLOCKS = 128;
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long[] chain;
    private final int tokens;

    private PromptBlocks(long[] chain, int tokens) {
        this.chain = chain;
        this.tokens = tokens;
    }

    /**
     * Hashes a prompt.
     *
     * @param organisation the organisation the prompt belongs to
     * @param model the model it is for
     * @param prompt the complete text of the prompt
     * @return the block chain, which has one hash for prompts shorter than a block
     */
    public static PromptBlocks of(String organisation, String model, String prompt) {
        int blocks = Math.min(MAX_BLOCKS, Math.max(1, prompt.length() / BLOCK_CHARS));
        long[] chain = new long[blocks];
        long parent = HASHER.hashCharsToLong(organisation + '\n' + model);
        for (int i = 0; i < blocks; i++) {
            int from = i * BLOCK_CHARS;
            int to = Math.min(prompt.length(), from + BLOCK_CHARS);
            long block = HASHER.hashCharsToLong(prompt.substring(from, to));
            parent = HASHER.hashLongLongToLong(parent, block);
            chain[i] = parent;
        }
        return new PromptBlocks(chain, Math.max(1, prompt.length() / CHARS_PER_TOKEN));
    }

    /**
     * Returns the number of blocks of the chain.
     *
     * @return the number of blocks, at least 1
     */
    public int size() {
        return chain.length;
    }

    /**
     * Returns the hash that identifies the prefix of {@code index + 1} blocks.
     *
     * @param index index of the prefix's last block, from 0
     * @return the chained hash
     */
    public long hash(int index) {
        return chain[index];
    }

    /**
     * Returns the estimated length of the prompt.
     *
     * @return the number of tokens, at least 1
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Returns the estimated length of the first blocks.
     *
     * @param blocks number of blocks
     * @return the number of tokens, at most {@link #tokens()}
     */
    public int tokensOf(int blocks) {
        return Math.min(tokens, blocks * (BLOCK_CHARS / CHARS_PER_TOKEN));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptBlocks that && Arrays.equals(chain, that.chain);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(chain);
    }
}
