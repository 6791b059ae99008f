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
 * Why a request is sent to another region.
 *
 * @param region the region it is sent to
 * @param localMillis when the best upstream of the own region would have begun to answer, in
 *     milliseconds; {@link #NO_LOCAL_UPSTREAM} if none there serves
 * @param remoteMillis when the chosen one is expected to, the way included, in milliseconds
 * @since 0.4
 */
public record CrossRegionChoice(String region, long localMillis, long remoteMillis) {
    /** Told in place of a time if no upstream of the own region serves. */
    public static final long NO_LOCAL_UPSTREAM = -1;
}
