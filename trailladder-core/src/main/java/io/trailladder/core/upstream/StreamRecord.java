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
package io.trailladder.core.upstream;

/**
 * The version at which a stream began, as processes tell each other.
 *
 * @param attempt a hash of the id of the caller's attempt that brought its first event
 * @param version the version of the upstream that sent it
 * @param ageMillis time since the process that began the stream first told it, in milliseconds
 * @since 0.6
 */
public record StreamRecord(long attempt, String version, long ageMillis) {}
