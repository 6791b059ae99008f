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
package io.trailladder.platform;

/**
 * Shortens texts for messages: what others write may be as long as the store accepts.
 *
 * <pre>{@code
 * throw new IllegalArgumentException("state is '" + ShortText.of(found, 60) + "', expected ready");
 * }</pre>
 *
 * @since 0.2
 */
public final class ShortText {
    private ShortText() {}

    /**
     * Returns a text, or its beginning if it is too long.
     *
     * @param text the text
     * @param maxChars how many characters are shown
     * @return the text; the part that is shown, followed by three dots, if it is longer
     */
    public static String of(String text, int maxChars) {
        return text.length() > maxChars ? text.substring(0, maxChars) + "..." : text;
    }
}
