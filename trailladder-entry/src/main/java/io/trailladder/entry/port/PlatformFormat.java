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
package io.trailladder.entry.port;

import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.upstream.Upstream;
import io.vavr.control.Either;

/**
 * The keys under which the operators' policy, the list of upstreams and the roll-outs are stored,
 * and the format of their values.
 *
 * @since 0.2
 */
public interface PlatformFormat {
    /**
     * Returns the key of the policy.
     *
     * @return the key
     */
    String policyKey();

    /**
     * Returns the prefix of the upstreams' keys; their names follow it.
     *
     * @return the prefix
     */
    String upstreamPrefix();

    /**
     * Returns the prefix of the keys where operators order roll-outs; the service's name follows.
     *
     * @return the prefix
     */
    String rolloutOrderPrefix();

    /**
     * Returns the prefix of the keys where the state of roll-outs is recorded; the service's name
     * follows.
     *
     * @return the prefix
     */
    String rolloutStatusPrefix();

    /**
     * Reads an order for a roll-out.
     *
     * @param service the service that its key names
     * @param value its bytes
     * @param revision the store's revision of it
     * @return the order, or what is wrong with it
     */
    Either<String, RolloutOrder> rolloutOrder(String service, byte[] value, long revision);

    /**
     * Reads the record of a roll-out.
     *
     * @param service the service that its key names
     * @param value its bytes
     * @param revision the store's revision of it
     * @return the record, or what is wrong with it
     */
    Either<String, RolloutStatus> rolloutStatus(String service, byte[] value, long revision);

    /**
     * Writes the record of a roll-out.
     *
     * @param status the record; its revision is not written
     * @return its bytes
     */
    byte[] rolloutStatus(RolloutStatus status);

    /**
     * Reads a policy.
     *
     * @param value its bytes
     * @return the policy, or what is wrong with it
     */
    Either<String, ServingPolicy> policy(byte[] value);

    /**
     * Reads an upstream's entry.
     *
     * @param id the upstream's name
     * @param value its bytes
     * @return the upstream, or what is wrong with its entry
     */
    Either<String, Upstream> upstream(String id, byte[] value);
}
