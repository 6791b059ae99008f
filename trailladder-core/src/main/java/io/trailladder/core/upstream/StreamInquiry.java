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
 * How far it was inquired where a stream began of which this process does not know.
 *
 * @param answered whether all processes that this one asks could be asked, and use no newer plan
 * @param everywhere whether these are all processes
 * @param recordRead whether the record was read after the caller resumed the stream
 * @since 0.7
 */
public record StreamInquiry(boolean answered, boolean everywhere, boolean recordRead) {}
