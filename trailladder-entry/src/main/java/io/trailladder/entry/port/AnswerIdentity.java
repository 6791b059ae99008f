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

/**
 * Whose answer the head of an answer shows it to be.
 *
 * @since 0.2
 */
public enum AnswerIdentity {
    /** The upstream that was asked answers this request. */
    OWN,
    /** The upstream that was asked did not run this request. */
    NOT_EXECUTED,
    /** An upstream other than the intended one has answered; this request did not run there. */
    MISDIRECTED,
    /**
     * It names another request. Nothing in it applies to this request, neither that it has not run
     * nor what the upstream reports about itself.
     */
    OF_ANOTHER_REQUEST,
    /**
     * The upstream that was asked answers this request with a status that promises that it has not
     * run, but does not say so itself. The request may have run.
     */
    UNCONFIRMED_REFUSAL,
    /** It lacks what an answer of its status bears, so it may be a part of one. */
    UNPROVEN
}
