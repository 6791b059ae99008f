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
package io.trailladder.core.policy;

/**
 * Whether the requests of a route may run more than once.
 *
 * @since 0.2
 */
public enum RouteKind {
    /** A request may run more than once. */
    SAFE,
    /** A request runs at most once. */
    UNSAFE,
    /** A request is answered with a series of numbered events. */
    STREAMING
}
