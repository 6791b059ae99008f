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

/**
 * The prompts that one entry, or several, have the upstreams of a service read.
 *
 * @param service the service
 * @param tokensPerMilli prompt tokens to be read, a millisecond
 * @param squaredTokensPerMilli sum of the squares of the prompts' sizes, a millisecond
 * @since 0.2
 */
public record ServiceDemand(String service, double tokensPerMilli, double squaredTokensPerMilli) {
    /** Most tokens a millisecond that are believed: a thousand times the largest site. */
    private static final double MAX_TOKENS_PER_MILLI = 1e7;

    /**
     * Returns the load of both.
     *
     * @param other a load of the same service
     * @return their sum
     */
    public ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(
                service,
                tokensPerMilli + other.tokensPerMilli,
                squaredTokensPerMilli + other.squaredTokensPerMilli);
    }

    /**
     * Tells whether figures told by another process can be true.
     *
     * @return false if one is negative, not a number or absurdly large
     */
    public boolean isValid() {
        return service != null
                && tokensPerMilli >= 0
                && tokensPerMilli <= MAX_TOKENS_PER_MILLI
                && squaredTokensPerMilli >= 0
                && squaredTokensPerMilli <= MAX_TOKENS_PER_MILLI * MAX_TOKENS_PER_MILLI;
    }
}
