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
package io.trailladder.platform;

import io.trailladder.core.claim.RangeAssignment;
import io.trailladder.core.claim.RangeMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the assignment of key ranges to entries as one value in the platform's key-value service.
 *
 * @since 0.1
 */
public final class RangeStore {
    /** Key of the map. */
    public static final String KEY = "claims/ranges";

    private final KeyValueStore store;
    private final int ranges;

    /**
     * The map with the version that a change must expect.
     *
     * @param map the map
     * @param version the key's version
     */
    public record Versioned(RangeMap map, long version) {}

    /**
     * Creates the store.
     *
     * @param store the key-value service
     * @param ranges number of ranges of a map that is not stored yet
     */
    public RangeStore(KeyValueStore store, int ranges) {
        this.store = store;
        this.ranges = ranges;
    }

    /**
     * Reads the map.
     *
     * @return the map; fails with {@link PlatformException}
     */
    public CompletableFuture<Versioned> read() {
        return store.get(KEY)
                .thenApply(
                        item ->
                                item.map(RangeStore::versioned)
                                        .orElse(
                                                new Versioned(
                                                        RangeMap.fresh(ranges),
                                                        KeyValueStore.ABSENT)));
    }

    /**
     * Replaces each assignment whose new epoch is one above the stored epoch. Other changes are
     * ignored.
     *
     * @param changes the new assignments by range
     * @return the stored map afterwards, with or without the changes
     */
    public CompletableFuture<RangeMap> change(Map<Integer, RangeAssignment> changes) {
        return read().thenCompose(present -> change(present, changes));
    }

    private CompletableFuture<RangeMap> change(
            Versioned present, Map<Integer, RangeAssignment> changes) {
        Map<Integer, RangeAssignment> following = new HashMap<>(changes);
        following
                .entrySet()
                .removeIf(
                        change ->
                                change.getValue().epoch()
                                        != present.map().get(change.getKey()).epoch() + 1);
        if (following.isEmpty()) {
            return CompletableFuture.completedFuture(present.map());
        }
        RangeMap next = present.map().with(following);
        return store.put(KEY, HttpKeyValueStore.toJson(next), present.version())
                .thenCompose(
                        version ->
                                version.isPresent()
                                        ? CompletableFuture.completedFuture(next)
                                        : read().thenApply(Versioned::map));
    }

    private static Versioned versioned(KeyValueStore.Item item) {
        return new Versioned(
                HttpKeyValueStore.fromJson(item.value(), RangeMap.class), item.version());
    }
}
