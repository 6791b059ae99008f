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
package io.trailladder.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * The answer of one model request so far. It outlives attempts, connections and entries.
 *
 * @since 0.1
 */
public final class AnswerLog {
    private final List<String> tokens = new ArrayList<>();
    private boolean complete;

    /** Creates an empty log. */
    public AnswerLog() {}

    /**
     * Creates a log from a copy.
     *
     * @param tokens the tokens so far
     * @param complete true if the answer is whole
     */
    public AnswerLog(List<String> tokens, boolean complete) {
        this.tokens.addAll(tokens);
        this.complete = complete;
    }

    /**
     * Adds the next token.
     *
     * @param text the token
     */
    void append(String text) {
        tokens.add(text);
    }

    /** Marks the answer as whole. */
    void complete() {
        complete = true;
    }

    /**
     * Returns how many tokens the answer has so far.
     *
     * @return a count
     */
    public int size() {
        return tokens.size();
    }

    /**
     * Tells whether the answer is whole.
     *
     * @return true once its end was seen
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the tokens from a position on.
     *
     * @param from the first position
     * @return a copy
     */
    public List<String> from(int from) {
        return List.copyOf(tokens.subList(Math.min(from, tokens.size()), tokens.size()));
    }

    /**
     * Returns the whole text so far.
     *
     * @return all tokens joined
     */
    public String text() {
        return String.join("", tokens);
    }
}
