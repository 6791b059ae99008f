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
 * The right to send one request to an upstream that names a limit.
 *
 * @param upstream the upstream's name
 * @param number the turn's number
 * @param takenMillis when it was taken, by the agreed time of day
 * @param previousUseMillis when the limit was used last before, by the agreed time of day
 * @since 0.6
 */
public record SendSlot(String upstream, long number, long takenMillis, long previousUseMillis) {}
