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

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.topology.Topology;
import java.util.List;

/**
 * The upstreams that every process prefers for the subject of a prompt, chosen by rendezvous
 * hashing, so that blocks which are not cached anywhere yet are read at few upstreams.
 */
final class PromptAffinity {
    /**
     * Fraction of a prompt's shared tokens that its first preferred upstream is expected to have
     * cached.
     */
    private static final double FIRST_CACHED_FRACTION = 0.9;

    private static final double SECOND_CACHED_FRACTION = 0.45;

    private static final PromptAffinity NONE = new PromptAffinity("", "");

    private final String first;
    private final String second;

    private PromptAffinity(String first, String second) {
        this.first = first;
        this.second = second;
    }

    /**
     * Finds the preferred upstreams of a prompt among those of a region that accept requests. Each
     * region reads a shared block for itself, so that it can reuse it without contacting another
     * region.
     */
    static PromptAffinity of(
            Prompt prompt, List<Upstream> serving, Topology topology, String region) {
        String subject = prompt.sharedBlockId();
        if (subject.isEmpty()) {
            return NONE;
        }
        long subjectHash = Hashing.xxh3_64().hashCharsToLong(subject);
        Upstream first = null;
        Upstream second = null;
        long firstRank = 0;
        long secondRank = 0;
        for (Upstream upstream : serving) {
            if (!topology.region(upstream.dataCentre()).equals(region)) {
                continue;
            }
            long rank = rank(subjectHash, upstream);
            if (first == null || rank < firstRank) {
                second = first;
                secondRank = firstRank;
                first = upstream;
                firstRank = rank;
            } else if (second == null || rank < secondRank) {
                second = upstream;
                secondRank = rank;
            }
        }
        return new PromptAffinity(
                first == null ? "" : first.id(), second == null ? "" : second.id());
    }

    /**
     * Returns how many tokens of a prompt an upstream is expected to have cached because it is
     * preferred.
     */
    int expectedCachedTokens(Upstream upstream, Prompt prompt) {
        if (upstream.id().equals(first)) {
            return (int) (sharedTokens(prompt) * FIRST_CACHED_FRACTION);
        }
        return upstream.id().equals(second)
                ? (int) (sharedTokens(prompt) * SECOND_CACHED_FRACTION)
                : 0;
    }

    private static int sharedTokens(Prompt prompt) {
        List<PromptBlock> blocks = prompt.blocks();
        int tokens = 0;
        for (int i = 0; i + 1 < blocks.size(); i++) {
            tokens += blocks.get(i).tokens();
        }
        return tokens;
    }

    /** Returns a pseudo-random number for a pair of a subject and an upstream. */
    private static long rank(long subjectHash, Upstream upstream) {
        return Hashing.komihash5_0().hashLongLongToLong(subjectHash, upstream.id().hashCode());
    }
}
