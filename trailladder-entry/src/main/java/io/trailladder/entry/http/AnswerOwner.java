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
package io.trailladder.entry.http;

/**
 * Whose answer it is, for the choice among answers that stand unread.
 *
 * @param id the caller's name for the request
 * @param organisation the organisation; empty if nobody's
 * @param resumable true if the caller can go on after the last whole event it has
 * @since 0.2
 */
public record AnswerOwner(String id, String organisation, boolean resumable) {
    /** Of a request that nothing is known of. */
    public static final AnswerOwner UNKNOWN = new AnswerOwner("", "", false);
}
