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
final class NewsInTurn {
    /** How long news is told first, in milliseconds: in five digests, in case some are lost. */
    static final long NEWS_MILLIS = 5 * ClusterView.DIGEST_MILLIS;

    private final Predicate<String> known;
    private final int mostTold;
    private final int mostRepeated;
    private final Map<String, Long> begunMillis = new LinkedHashMap<>();
    private int freshTurn;
    private int olderTurn;

    /**
     * Creates news of nothing.
     *
     * @param known tells whether what a name stands for is still to be told
     * @param mostTold most that one digest tells
     * @param mostRepeated most of the older ones that one digest tells
     */
    NewsInTurn(Predicate<String> known, int mostTold, int mostRepeated) {
        this.known = known;
        this.mostTold = mostTold;
        this.mostRepeated = mostRepeated;
    }

    /** Records that something is news now. */
    void began(String name, long nowMillis) {
        begunMillis.put(name, nowMillis);
    }

    /** Records that all is news now, to somebody who came later. */
    void beginAgain(long nowMillis) {
        begunMillis.replaceAll((name, begun) -> nowMillis);
    }

    /** Returns the names that the next digests tell of. */
    List<String> next(long nowMillis) {
        if (begunMillis.isEmpty()) {
            return List.of();
        }
        begunMillis.keySet().removeIf(name -> !known.test(name));
        List<String> fresh = new ArrayList<>();
        List<String> older = new ArrayList<>();
        begunMillis.forEach(
                (name, begun) -> (nowMillis - begun < NEWS_MILLIS ? fresh : older).add(name));
        List<String> told = new ArrayList<>(inTurn(fresh, freshTurn, mostTold));
        int repeated = Math.min(mostRepeated, mostTold - told.size());
        freshTurn += told.size();
        told.addAll(inTurn(older, olderTurn, repeated));
        olderTurn += repeated;
        return told;
    }

    /** Returns some of a list, going on where the last ones ended. */
    private static List<String> inTurn(List<String> all, int turn, int most) {
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
