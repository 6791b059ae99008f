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
package io.trailladder.core.policy;

/**
 * An organisation's rate limit over all entries together.
 *
 * @param perSecond units per second; 0 for no limit
 * @param burst units allowed in addition at once
 * @param inTokens true if a unit is a token, false if it is a request
 * @param unsizedTokens tokens counted for a request that does not state its size
 * @since 0.2
 */
public record RateSpec(double perSecond, double burst, boolean inTokens, int unsizedTokens) {
    /** No limit. */
    public static final RateSpec UNLIMITED = new RateSpec(0, 0, false, 0);

    /**
     * Returns whether there is a limit.
     *
     * @return true unless the rate is 0
     */
    public boolean limited() {
        return perSecond > 0;
    }
}
