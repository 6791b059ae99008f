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

import io.trailladder.core.upstream.LeavingUpstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses which leaving upstreams a digest names. A wave of leavers is spread over some digests, so
 * that all of them are told and none is told only because it was the last to be seen.
 */
final class LeavingNews {
    /**
     * Most that one digest names: 1.8 KB at 14 bytes each. The loss of all reclaimable upstreams of
     * a data centre of 825 is told in three digests.
     */
    static final int MOST_TOLD = 128;

    /**
     * Most of the older ones that one digest names beside the news, for processes that came later.
     */
    static final int MOST_REPEATED = 8;

    /** How long news is told first, in milliseconds: in five digests, in case some are lost. */
    static final long NEWS_MILLIS = 5 * ClusterView.DIGEST_MILLIS;

    private final Function<String, Optional<LeavingUpstream>> listed;
    private final Map<String, Long> begunMillis = new LinkedHashMap<>();
    private final Map<Boolean, Integer> turns = new HashMap<>();

    /**
     * Creates news of nobody.
     *
     * @param listed tells which life of an upstream leaves; none of one that is gone or has started
     *     anew, which needs no telling
     */
    LeavingNews(Function<String, Optional<LeavingUpstream>> listed) {
        this.listed = listed;
    }

    /** Records that an upstream has begun to leave. */
    void began(String upstream, long nowMillis) {
        begunMillis.putIfAbsent(upstream, nowMillis);
    }

    /** Returns those that the next digests name. */
    List<LeavingUpstream> next(long nowMillis) {
        if (begunMillis.isEmpty()) {
            return List.of();
        }
        begunMillis.keySet().removeIf(upstream -> listed.apply(upstream).isEmpty());
        List<String> fresh = new ArrayList<>();
        List<String> older = new ArrayList<>();
        begunMillis.forEach(
                (upstream, begun) -> {
                    boolean news = nowMillis - begun < NEWS_MILLIS;
                    (news ? fresh : older).add(upstream);
                });
        List<String> told = new ArrayList<>(inTurn(fresh, true, MOST_TOLD));
        told.addAll(inTurn(older, false, Math.min(MOST_REPEATED, MOST_TOLD - told.size())));
        return told.stream().flatMap(upstream -> listed.apply(upstream).stream()).toList();
    }

    /** Returns some of a list, and goes on with those after them the next time. */
    private List<String> inTurn(List<String> all, boolean fresh, int most) {
        if (all.size() <= most) {
            return all;
        }
        int from = turns.getOrDefault(fresh, 0) % all.size();
        List<String> some = new ArrayList<>(most);
        for (int i = 0; i < most; i++) {
            some.add(all.get((from + i) % all.size()));
        }
        turns.put(fresh, from + most);
        return some;
    }
}
