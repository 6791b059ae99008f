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
package io.trailladder.core.rollout;

/**
 * How one request ended at an upstream.
 *
 * @param route the route's name
 * @param failed true if the upstream answered that it failed
 * @param firstEventMillis time to the first event, or to the answer of a plain service, in milliseconds;
 *     the age of the request if none came
 * @param predictedMillis what was predicted for that, in milliseconds
 * @param eventIntervalMillis mean pause between the events, in milliseconds; 0 if there were too few
 * @param complete true if the answer ended; false if it was broken off before
 * @since 0.4
 */
public record AnswerObservation(
        String route,
        boolean failed,
        double firstEventMillis,
        double predictedMillis,
        double eventIntervalMillis,
        boolean complete) {}
