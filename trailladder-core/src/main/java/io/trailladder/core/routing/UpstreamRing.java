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
package io.trailladder.core.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/**
 * Places upstreams on a hash ring, so that every entry finds the same home for a prefix without
 * asking anybody, in time that grows with the logarithm of their number.
 *
 * @since 0.1
 */
public final class UpstreamRing {
    private static final int POINTS_PER_UPSTREAM = 32;
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final List<String> upstreams;
    private final long[] points;
    private final int[] owners;

    /** A point on the ring and the upstream it belongs to. */
    private record Point(long hash, int owner) {}

    /**
     * Creates a ring.
     *
     * @param upstreams the names of the upstreams
     */
    public UpstreamRing(List<String> upstreams) {
        this.upstreams = List.copyOf(upstreams);
        List<Point> ring = new ArrayList<>(upstreams.size() * POINTS_PER_UPSTREAM);
        for (int owner = 0; owner < upstreams.size(); owner++) {
            long name = HASHER.hashCharsToLong(upstreams.get(owner));
            for (int i = 0; i < POINTS_PER_UPSTREAM; i++) {
                ring.add(new Point(HASHER.hashLongLongToLong(name, i), owner));
            }
        }
        ring.sort((a, b) -> Long.compare(a.hash(), b.hash()));
        points = ring.stream().mapToLong(Point::hash).toArray();
        owners = ring.stream().mapToInt(Point::owner).toArray();
    }

    /**
     * Finds the first different upstreams from a hash onwards.
     *
     * @param hash where to begin
     * @param wanted how many
     * @param eligible tells which upstreams count
     * @return their names, home first; fewer if the ring has fewer
     */
    public List<String> preferred(long hash, int wanted, Predicate<String> eligible) {
        List<String> found = new ArrayList<>(wanted);
        int at = Arrays.binarySearch(points, hash);
        int start = at >= 0 ? at : -at - 1;
        for (int i = 0; found.size() < wanted && i < points.length; i++) {
            String name = upstreams.get(owners[(start + i) % points.length]);
            if (!found.contains(name) && eligible.test(name)) {
                found.add(name);
            }
        }
        return found;
    }

    /**
     * Returns the upstreams on the ring.
     *
     * @return their names
     */
    public List<String> upstreams() {
        return upstreams;
    }
}
