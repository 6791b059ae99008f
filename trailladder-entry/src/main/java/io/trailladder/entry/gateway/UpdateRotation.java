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
package io.trailladder.entry.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Selects which of many updates a digest contains: the new ones, in rotation if there are many, so
 * that each is sent and none is sent only because it was the last to be seen, and some of the older
 * ones.
 */
final class UpdateRotation {
    /** How long an update counts as new, in milliseconds: five digests, in case some are lost. */
    static final long FRESH_MILLIS = 5 * ClusterView.DIGEST_INTERVAL_MILLIS;

    private final Predicate<String> stillCurrent;
    private final Pace pace;
    private final Map<String, Update> all = new LinkedHashMap<>();
    private int freshOffset;
    private int olderOffset;
    private long repeatedMillis = Long.MIN_VALUE / 2;

    /**
     * How many updates are sent, and how often.
     *
     * @param maxPerDigest maximum number of updates in one digest
     * @param minSends minimum number of digests that contain a new update, if not all fit into each
     * @param maxRepeated maximum number of older updates in one digest
     * @param repeatIntervalMillis minimum time between two digests with older updates, in
     *     milliseconds
     */
    record Pace(int maxPerDigest, int minSends, int maxRepeated, long repeatIntervalMillis) {}

    /** An update, and the number of digests that have contained it since it was new. */
    private static final class Update {
        private final long startedMillis;
        private int sends;

        Update(long startedMillis) {
            this.startedMillis = startedMillis;
        }

        boolean isFresh(int minSends, long nowMillis) {
            return nowMillis - startedMillis < FRESH_MILLIS || sends < minSends;
        }
    }

    /**
     * Creates a rotation without updates.
     *
     * @param stillCurrent whether the update of a name still has to be sent
     * @param pace how many updates are sent
     */
    UpdateRotation(Predicate<String> stillCurrent, Pace pace) {
        this.stillCurrent = stillCurrent;
        this.pace = pace;
    }

    /** Records an update as new. */
    void began(String name, long nowMillis) {
        all.put(name, new Update(nowMillis));
    }

    /** Marks all updates as new, for a process that was linked later. */
    void restartAll(long nowMillis) {
        all.replaceAll((name, update) -> new Update(nowMillis));
    }

    /** Returns the names of the updates that the next digests contain. */
    List<String> next(long nowMillis) {
        if (all.isEmpty()) {
            return List.of();
        }
        all.keySet().removeIf(name -> !stillCurrent.test(name));
        List<String> fresh = new ArrayList<>();
        List<String> older = new ArrayList<>();
        all.forEach(
                (name, update) ->
                        (update.isFresh(pace.minSends(), nowMillis) ? fresh : older).add(name));
        List<String> selected = new ArrayList<>(rotate(fresh, freshOffset, pace.maxPerDigest()));
        freshOffset += selected.size();
        selected.forEach(name -> all.get(name).sends++);
        if (nowMillis - repeatedMillis >= pace.repeatIntervalMillis()) {
            repeatedMillis = nowMillis;
            int repeated = Math.min(pace.maxRepeated(), pace.maxPerDigest() - selected.size());
            selected.addAll(rotate(older, olderOffset, repeated));
            olderOffset += repeated;
        }
        return selected;
    }

    /**
     * Returns up to {@code max} elements of a list, starting at the given offset and wrapping
     * around.
     */
    private static List<String> rotate(List<String> all, int offset, int max) {
        if (all.size() <= max) {
            return all;
        }
        List<String> some = new ArrayList<>(max);
        for (int i = 0; i < max; i++) {
            some.add(all.get(Math.floorMod(offset + i, all.size())));
        }
        return some;
    }
}
