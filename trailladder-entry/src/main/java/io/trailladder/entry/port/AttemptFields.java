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
 * The fields that the gateway sends to an upstream with an attempt.
 *
 * @param upstream the intended upstream; any other refuses the request
 * @param organisation the organisation of the request; empty if there is none
 * @param priority its priority; 0 is the most urgent
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param lastEventId the last event the caller received; empty to start from the beginning
 * @since 0.2
 */
public record AttemptFields(
        String upstream,
        String organisation,
        int priority,
        long remainingMillis,
        String lastEventId) {}
