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
 * The end of an upstream while a request was in progress there.
 *
 * @param incarnation the upstream's incarnation, see {@link #incarnationOf}
 * @param earlierEnds how many ends of the same incarnation were recorded for the request before it
 *     was sent there: an upstream may have restarted before its new incarnation is known
 * @param atMillis when it ended, in milliseconds
 * @param ranMillis how long the request had been there, in milliseconds
 * @param request for the end under a part of a prompt, a hash of the whole request that had it; 0
 *     else
 * @since 0.6
 */
public record UpstreamEnd(
        long incarnation, int earlierEnds, long atMillis, long ranMillis, int request) {
    /**
     * Creates the end under a whole request.
     *
     * @param incarnation the upstream's incarnation
     * @param earlierEnds how many ends of the incarnation were recorded before
     * @param atMillis when it ended, in milliseconds
     * @param ranMillis how long the request had been there, in milliseconds
     */
    public UpstreamEnd(long incarnation, int earlierEnds, long atMillis, long ranMillis) {
        this(incarnation, earlierEnds, atMillis, ranMillis, 0);
    }

    /** Identifies one end; equal at all processes that observed it. */
    record Key(long incarnation, int earlierEnds) {}

    /**
     * Returns an identifier of one incarnation of an upstream.
     *
     * @param id the upstream's name
     * @param startedMillis when it started, as it reports itself; 0 if it does not report it
     * @return 64 bits, the same at all processes
     */
    public static long incarnationOf(String id, long startedMillis) {
        return Hashing.xxh3_64()
                .hashLongLongToLong(Hashing.xxh3_64().hashCharsToLong(id), startedMillis);
    }

    Key key() {
        return new Key(incarnation, earlierEnds);
    }
}
