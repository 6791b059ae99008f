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

import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.port.PlatformFormat;
import io.vavr.control.Either;

/** A platform that tells nothing, for tests of what does not depend on it. */
class EmptyPlatformFormat implements PlatformFormat {
    @Override
    public String policyKey() {
        return "policy";
    }

    @Override
    public String upstreamPrefix() {
        return "upstream/";
    }

    @Override
    public String rolloutOrderPrefix() {
        return "order/";
    }

    @Override
    public String rolloutStatusPrefix() {
        return "record/";
    }

    @Override
    public Either<String, ServingPolicy> policy(byte[] value) {
        return Either.left("no policy here");
    }

    @Override
    public Either<String, Upstream> upstream(String id, byte[] value) {
        return Either.left("no upstream here");
    }

    @Override
    public Either<String, RolloutOrder> rolloutOrder(String service, byte[] value, long revision) {
        return Either.left("no order here");
    }

    @Override
    public Either<String, RolloutStatus> rolloutStatus(
            String service, byte[] value, long revision) {
        return Either.left("no record here");
    }

    @Override
    public byte[] rolloutStatus(RolloutStatus status) {
        return new byte[0];
    }
}
