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
package io.trailladder.wire;

import java.util.List;

/**
 * An accepted model request with all that another entry needs to resume it.
 *
 * @param requestId the request's id
 * @param organisation its organisation
 * @param model the model
 * @param prompt the prompt text
 * @param maxTokens maximum number of tokens in the answer
 * @param chat true if the caller used the chat interface
 * @param stream true if the caller requested a stream
 * @param createdMillis when it was accepted, in milliseconds since 1970
 * @param tokens the tokens generated so far
 * @param complete true if all tokens have been generated
 * @since 0.1
 */
public record RequestRecord(
        String requestId,
        String organisation,
        String model,
        String prompt,
        int maxTokens,
        boolean chat,
        boolean stream,
        long createdMillis,
        List<String> tokens,
        boolean complete) {
    /** Makes an unmodifiable copy of the tokens. */
    public RequestRecord {
        tokens = List.copyOf(tokens);
    }

    /**
     * Returns a copy of this record with other tokens.
     *
     * @param newTokens all tokens generated so far
     * @param nowComplete true if these are all tokens of the answer
     * @return the copy
     */
    public RequestRecord with(List<String> newTokens, boolean nowComplete) {
        return new RequestRecord(
                requestId,
                organisation,
                model,
                prompt,
                maxTokens,
                chat,
                stream,
                createdMillis,
                newTokens,
                nowComplete);
    }
}
