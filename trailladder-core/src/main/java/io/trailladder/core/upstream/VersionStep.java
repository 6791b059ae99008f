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

import java.util.Map;

/**
 * The upstreams of a service from a time on, by version.
 *
 * @param sinceMillis when other processes may have noticed them first, in milliseconds: earlier
 *     than {@code fromMillis} if this process could not tell for a while whether its list was
 *     current
 * @param fromMillis when a process noticed them, in milliseconds
 * @param certain false if other processes may already give requests to all that are listed
 * @param listed slots of all upstreams that are not leaving
 * @param admitted slots of those that take new requests; none while a roll-out chooses the version
 *     of each request
 * @since 0.8
 */
public record VersionStep(
        long sinceMillis,
        long fromMillis,
        boolean certain,
        Map<String, Integer> listed,
        Map<String, Integer> admitted) {
    /**
     * Returns whether the upstreams are the same as in another step, whenever it was.
     *
     * @param other the other step
     * @return true if they are
     */
    boolean hasSameUpstreams(VersionStep other) {
        return certain == other.certain
                && listed.equals(other.listed)
                && admitted.equals(other.admitted);
    }

    /** Returns this step if other processes may have noticed it since a time. */
    VersionStep noticedSince(long millis) {
        return new VersionStep(
                Math.min(sinceMillis, millis), fromMillis, certain, listed, admitted);
    }

    /** Returns the highest number of slots of each version that may have taken requests. */
    Map<String, Integer> mostAdmitted() {
        return certain ? admitted : listed;
    }

    /**
     * Returns this step at another time.
     *
     * @param offsetMillis added to the time, in milliseconds
     * @return the step
     */
    public VersionStep shifted(long offsetMillis) {
        return new VersionStep(
                sinceMillis + offsetMillis, fromMillis + offsetMillis, certain, listed, admitted);
    }
}
