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
 * The tokens of the answer to one model request so far. The log is kept across attempts,
 * connections and entries.
 *
 * @since 0.1
 */
public final class AnswerLog {
    private final List<String> tokens = new ArrayList<>();
    private boolean complete;

    /** Creates an empty log. */
    public AnswerLog() {}

    /**
     * Creates a log from the copy of another.
     *
     * @param tokens the tokens so far
     * @param complete true if the answer is complete
     */
    public AnswerLog(List<String> tokens, boolean complete) {
        this.tokens.addAll(tokens);
        this.complete = complete;
    }

    /**
     * Appends the next token.
     *
     * @param text the token
     */
    void append(String text) {
        tokens.add(text);
    }

    /** Marks the answer as complete. */
    void complete() {
        complete = true;
    }

    /**
     * Returns the number of tokens of the answer so far.
     *
     * @return the number of tokens
     */
    public int size() {
        return tokens.size();
    }

    /**
     * Returns whether the answer is complete.
     *
     * @return true once its end was received
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns a copy of the tokens from a position on.
     *
     * @param from the first position, from 0
     * @return the tokens; empty if the answer is not longer than that
     */
    public List<String> from(int from) {
        return List.copyOf(tokens.subList(Math.min(from, tokens.size()), tokens.size()));
    }

    /**
     * Returns the text of the answer so far.
     *
     * @return all tokens joined
     */
    public String text() {
        return String.join("", tokens);
    }
}
