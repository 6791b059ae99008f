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
package io.trailladder.core.crash;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The end of an upstream while a request ran there.
 *
 * @param incarnation names the upstream's life, see {@link #incarnationOf}
 * @param earlierEnds how many ends of the same name the request had seen before it was sent there: an
 *     upstream may be back before its new life is known
 * @param atMillis when it ended, in milliseconds
 * @param ranMillis how long the request had been there, in milliseconds
 * @since 0.6
 */
public record UpstreamEnd(long incarnation, int earlierEnds, long atMillis, long ranMillis) {
    /** Names one sight of one end; all processes that saw it tell the same. */
    record Key(long incarnation, int earlierEnds) {}

    /**
     * Names one life of an upstream.
     *
     * @param id the upstream's name
     * @param bornMillis when it started, as it says itself; 0 if it does not say
     * @return 64 bits, the same at all processes
     */
    public static long incarnationOf(String id, long bornMillis) {
        return Hashing.xxh3_64()
                .hashLongLongToLong(Hashing.xxh3_64().hashCharsToLong(id), bornMillis);
    }

    Key key() {
        return new Key(incarnation, earlierEnds);
    }
}
