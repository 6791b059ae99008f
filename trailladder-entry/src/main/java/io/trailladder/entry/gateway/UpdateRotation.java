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
 * Chooses what a digest tells of many things: those that are news, in turn if they are many, so
 * that all are told and none only because it was the last to be seen, and some of the older ones.
 */
final class UpdateRotation {
    /** How long news is told first, in milliseconds: in five digests, in case some are lost. */
    static final long FRESH_MILLIS = 5 * ClusterView.DIGEST_INTERVAL_MILLIS;

    private final Predicate<String> stillCurrent;
    private final Pace pace;
    private final Map<String, Update> all = new LinkedHashMap<>();
    private int freshOffset;
    private int olderOffset;
    private long repeatedMillis = Long.MIN_VALUE / 2;

    /**
     * How much is told.
     *
     * @param mostTold most that one digest tells
     * @param leastTimes in how many digests news is told at least, if not all fits into each
     * @param mostRepeated most of the older ones that one digest tells
     * @param repeatMillis least time between two digests that tell older ones, in milliseconds
     */
    record Pace(int maxPerDigest, int minSends, int maxRepeated, long repeatIntervalMillis) {}

    /** One thing that is told, and in how many digests it was since it was news. */
    private static final class Update {
        private final long startedMillis;
        private int sends;

        Update(long begunMillis) {
            this.startedMillis = begunMillis;
        }

        boolean isFresh(int leastTimes, long nowMillis) {
            return nowMillis - startedMillis < FRESH_MILLIS || sends < leastTimes;
        }
    }

    /**
     * Creates news of nothing.
     *
     * @param known tells whether what a name stands for is still to be told
     * @param pace how much is told
     */
    UpdateRotation(Predicate<String> known, Pace pace) {
        this.stillCurrent = known;
        this.pace = pace;
    }

    /** Records that something is news now. */
    void began(String name, long nowMillis) {
        all.put(name, new Update(nowMillis));
    }

    /** Records that all is news now, to somebody who came later. */
    void restartAll(long nowMillis) {
        all.replaceAll((name, news) -> new Update(nowMillis));
    }

    /** Returns the names that the next digests tell of. */
    List<String> next(long nowMillis) {
        if (all.isEmpty()) {
            return List.of();
        }
        all.keySet().removeIf(name -> !stillCurrent.test(name));
        List<String> fresh = new ArrayList<>();
        List<String> older = new ArrayList<>();
        all.forEach(
                (name, news) ->
                        (news.isFresh(pace.minSends(), nowMillis) ? fresh : older).add(name));
        List<String> told = new ArrayList<>(rotate(fresh, freshOffset, pace.maxPerDigest()));
        freshOffset += told.size();
        told.forEach(name -> all.get(name).sends++);
        if (nowMillis - repeatedMillis >= pace.repeatIntervalMillis()) {
            repeatedMillis = nowMillis;
            int repeated = Math.min(pace.maxRepeated(), pace.maxPerDigest() - told.size());
            told.addAll(rotate(older, olderOffset, repeated));
            olderOffset += repeated;
        }
        return told;
    }

    /** Returns some of a list, going on where the last ones ended. */
    private static List<String> rotate(List<String> all, int turn, int most) {
        if (all.size() <= most) {
            return all;
        }
        List<String> some = new ArrayList<>(most);
        for (int i = 0; i < most; i++) {
            some.add(all.get(Math.floorMod(turn + i, all.size())));
        }
        return some;
    }
}
