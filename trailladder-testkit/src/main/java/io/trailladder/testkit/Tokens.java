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
package io.trailladder.testkit;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Computes the tokens that the engine stand-in answers, so that tests can tell a whole and right
 * answer from a crossed, cut or doubled one.
 *
 * @since 0.1
 */
public final class Tokens {
    private Tokens() {}

    /**
     * Computes one token.
     *
     * @param organisation the organisation
     * @param prompt the prompt
     * @param position position in the answer, from 0
     * @return the token with a space behind it
     */
    public static String token(String organisation, String prompt, int position) {
        long seed = (organisation + '\n' + prompt).hashCode() * 0x9E3779B97F4A7C15L + position;
        seed ^= seed >>> 31;
        return Long.toString((seed * 0xBF58476D1CE4E5B9L) >>> 40, Character.MAX_RADIX) + " ";
    }

    /**
     * Computes a whole answer.
     *
     * @param organisation the organisation
     * @param prompt the prompt
     * @param count how many tokens
     * @return the tokens joined
     */
    public static String answer(String organisation, String prompt, int count) {
        return IntStream.range(0, count)
                .mapToObj(position -> token(organisation, prompt, position))
                .collect(Collectors.joining());
    }
}
