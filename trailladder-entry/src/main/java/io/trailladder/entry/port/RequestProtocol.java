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
package io.trailladder.entry.port;

import io.trailladder.core.upstream.AnswerNotice;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import io.vavr.control.Either;

/**
 * The mapping of requests and answers to HTTP heads.
 *
 * @since 0.2
 */
public interface RequestProtocol {
    /**
     * Reads the head of a caller's request.
     *
     * @param exchange the request
     * @return its contents, or what is wrong with it
     */
    Either<String, CallerRequest> read(ServerExchange exchange);

    /**
     * Creates the head of an attempt from the caller's head.
     *
     * @param callerHeaders the caller's header fields
     * @param fields the gateway's own fields
     * @return the fields to send
     */
    HeaderList attempt(HeaderList callerHeaders, AttemptFields fields);

    /**
     * Returns whose answer a head begins. Only an {@link AnswerIdentity#OWN} one may reach the
     * caller, and an {@link AnswerIdentity#UNCONFIRMED_REFUSAL} that of a request that may run
     * again.
     *
     * @param requestId the request id given by the caller
     * @param status the answer's status
     * @param headers its header fields
     * @return what the head shows
     */
    AnswerIdentity identity(String requestId, int status, HeaderList headers);

    /**
     * Reads what an answer reports about its upstream.
     *
     * @param status its status
     * @param headers its header fields
     * @return the notice; {@link AnswerNotice#NONE} if there is none
     */
    AnswerNotice notice(int status, HeaderList headers);

    /**
     * Creates the header fields of a refusal.
     *
     * @param retryAfterMillis after how long a retry may succeed, in milliseconds; 0 if a retry
     *     does not help
     * @return the fields
     */
    HeaderList refusal(long retryAfterMillis);
}
