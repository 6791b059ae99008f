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
package io.trailladder.core.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A queue of requests that wait for capacity, which serves organisations in proportion to their
 * weights.
 *
 * <p>It is based on start-time fair queueing: of two organisations that always have requests
 * waiting, one with twice the weight is served twice as often, however many requests either has in
 * the queue. Requests that had begun and lost their upstream precede all others.
 *
 * @param <T> the type of the waiting requests
 * @since 0.1
 */
public final class WeightedQueue<T> {
    private final PriorityQueue<Entry<T>> queue =
            new PriorityQueue<>(
                    Comparator.<Entry<T>>comparingInt(entry -> entry.begun() ? 0 : 1)
                            .thenComparingDouble(Entry::tag)
                            .thenComparingLong(Entry::sequence));
    private final Map<String, Double> lastTags = new HashMap<>();
    private double virtualTime;
    private long sequence;

    /** A waiting request with its position in the order. */
    private record Entry<T>(T item, boolean begun, double tag, long sequence) {}

    /**
     * Adds a request.
     *
     * @param item the request
     * @param organisation its organisation
     * @param weight the weight of its row, at least 1
     * @param begun true if the request had begun and must be resumed
     */
    public void add(T item, String organisation, int weight, boolean begun) {
        double start = Math.max(virtualTime, lastTags.getOrDefault(organisation, 0.0));
        double tag = start + 1.0 / weight;
        if (!begun) {
            lastTags.put(organisation, tag);
        }
        queue.add(new Entry<>(item, begun, tag, sequence++));
    }

    /**
     * Returns the next request without removing it.
     *
     * @return the request; empty if none waits
     */
    public Optional<T> peek() {
        return Optional.ofNullable(queue.peek()).map(Entry::item);
    }

    /**
     * Removes and returns the next request.
     *
     * @return the request; empty if none waits
     */
    public Optional<T> poll() {
        Entry<T> next = queue.poll();
        if (next == null) {
            lastTags.clear();
            virtualTime = 0;
            return Optional.empty();
        }
        if (!next.begun()) {
            virtualTime = Math.max(virtualTime, next.tag());
        }
        return Optional.of(next.item());
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param item the request
     * @return true if the request was in the queue
     */
    public boolean remove(T item) {
        return queue.removeIf(entry -> entry.item().equals(item));
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int size() {
        return queue.size();
    }
}
