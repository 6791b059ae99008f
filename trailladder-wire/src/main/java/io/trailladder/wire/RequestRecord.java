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
 * All that another entry needs to go on with an accepted model request.
 *
 * @param requestId the request's name
 * @param organisation its organisation
 * @param model the model
 * @param prompt the prompt text
 * @param maxTokens most tokens the answer may have
 * @param chat true if the caller used the chat interface
 * @param stream true if the caller asked for a stream
 * @param createdMillis when it was accepted, in milliseconds since 1970
 * @param tokens the tokens generated so far
 * @param complete true if the answer is whole
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
    /** Copies the tokens. */
    public RequestRecord {
        tokens = List.copyOf(tokens);
    }

    /**
     * Returns this record with more of its answer.
     *
     * @param newTokens all tokens so far
     * @param nowComplete true if the answer is whole
     * @return the changed record
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
