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
 * The life of an upstream that leaves. The upstream may start again under the same name, and that
 * life does not leave.
 *
 * @param id the upstream's name
 * @param startedMillis when that life started, in milliseconds of the time of day; 0 if not told,
 *     which counts as the life that is listed
 * @since 0.5
 */
public record LeavingUpstream(String id, long startedMillis) {}
