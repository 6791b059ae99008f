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
 * How requests and answers are told in HTTP heads.
 *
 * @since 0.2
 */
public interface RequestProtocol {
    /**
     * Reads a caller's head.
     *
     * @param exchange the request
     * @return what it says, or what is wrong with it
     */
    Either<String, CallerRequest> read(ServerExchange exchange);

    /**
     * Makes the head of an attempt from the caller's.
     *
     * @param callerHeaders the caller's header fields
     * @param fields what the gateway tells
     * @return the fields to send
     */
    HeaderList attempt(HeaderList callerHeaders, AttemptFields fields);

    /**
     * Tells whether an upstream says that it did not run a request.
     *
     * @param status its status
     * @param headers its header fields
     * @return true if the request certainly did not run there
     */
    boolean notExecuted(int status, HeaderList headers);

    /**
     * Tells whether another upstream than the one meant has answered.
     *
     * @param status its status
     * @return true if the request certainly did not run there
     */
    boolean misdirected(int status);

    /**
     * Tells whether an answer belongs to a request.
     *
     * @param requestId the caller's name for the request
     * @param headers the answer's header fields
     * @return false if it belongs to another request or to none
     */
    boolean belongs(String requestId, HeaderList headers);

    /**
     * Tells whether an answer names another request. Nothing that it says is about this one,
     * neither that it has not run nor what its upstream says of itself.
     *
     * @param requestId the caller's name for the request
     * @param headers the answer's header fields
     * @return false if it names this request or none
     */
    boolean belongsToAnother(String requestId, HeaderList headers);

    /**
     * Reads what an answer says of its upstream.
     *
     * @param status its status
     * @param headers its header fields
     * @return what it says; {@link AnswerNotice#NONE} if nothing
     */
    AnswerNotice notice(int status, HeaderList headers);

    /**
     * Makes the fields of a refusal.
     *
     * @param retryAfterMillis when asking again may help, in milliseconds; 0 if it does not
     * @return the fields
     */
    HeaderList refusal(long retryAfterMillis);
}
