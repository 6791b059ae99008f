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
 * The number of slots that a version of a service's upstreams had over some time.
 *
 * @param version the version
 * @param leastSlots the lowest number of slots that took new requests
 * @param mostSlots the highest number of slots listed
 * @since 0.7
 */
public record VersionRange(String version, int leastSlots, int mostSlots) {}
