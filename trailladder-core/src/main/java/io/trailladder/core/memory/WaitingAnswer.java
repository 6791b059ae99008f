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
package io.trailladder.core.memory;

/**
 * An answer that its caller has not read yet, as a candidate to be ended.
 *
 * @param key its number among the candidates
 * @param organisation the organisation it belongs to; empty if none
 * @param bytes bytes reserved for it
 * @param resumable true if the caller can resume after the last complete event that it has received
 * @since 0.2
 */
public record WaitingAnswer(int key, String organisation, long bytes, boolean resumable) {}
