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
 * The owner of an answer, used to choose which of the unread answers to end.
 *
 * @param id the request id given by the caller
 * @param organisation the organisation; empty if there is none
 * @param resumable true if the caller can resume after the last complete event it received
 * @since 0.2
 */
public record AnswerOwner(String id, String organisation, boolean resumable) {
    /** The owner of an answer about which nothing is known. */
    public static final AnswerOwner UNKNOWN = new AnswerOwner("", "", false);
}
