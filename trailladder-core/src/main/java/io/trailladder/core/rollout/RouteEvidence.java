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
package io.trailladder.core.rollout;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What was observed of both versions on one route at the same time.
 *
 * @param route the route's name
 * @param old answers of the versions that served before
 * @param target answers of the version that the order names
 * @since 0.4
 */
public record RouteEvidence(String route, AnswerCount old, AnswerCount target) {
    /**
     * Returns the evidence of no answers.
     *
     * @param route the route's name
     * @return evidence without answers
     */
    static RouteEvidence none(String route) {
        return new RouteEvidence(route, AnswerCount.NONE, AnswerCount.NONE);
    }

    /**
     * Returns the sum of two observations of the same route.
     *
     * @param other what another process observed
     * @return the sum
     */
    public RouteEvidence plus(RouteEvidence other) {
        return new RouteEvidence(route, old.plus(other.old), target.plus(other.target));
    }

    /**
     * Returns this evidence with one more answer.
     *
     * @param isTarget true if the version that the order names gave it
     * @param isBad true if it failed or was several times slower than usual
     * @param isSlow true if it was clearly slower than usual
     * @return the new evidence
     */
    public RouteEvidence with(boolean isTarget, boolean isBad, boolean isSlow) {
        return isTarget
                ? new RouteEvidence(route, old, target.with(isBad, isSlow))
                : new RouteEvidence(route, old.with(isBad, isSlow), target);
    }

    /**
     * Sums evidence by route.
     *
     * @param parts evidence of several processes
     * @return one element per route
     */
    public static List<RouteEvidence> sum(Stream<RouteEvidence> parts) {
        Map<String, RouteEvidence> sum = new TreeMap<>();
        parts.forEach(part -> sum.merge(part.route(), part, RouteEvidence::plus));
        return List.copyOf(sum.values());
    }

    /**
     * Returns whether evidence that another process reports is plausible.
     *
     * @return false if one of the counts is not
     */
    public boolean isValid() {
        return old.isValid() && target.isValid();
    }
}
