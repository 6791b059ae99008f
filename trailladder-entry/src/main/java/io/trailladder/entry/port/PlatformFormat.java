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
import io.trailladder.core.worker.Worker;
import io.vavr.control.Either;

/**
 * Where the operators' policy and the list of upstreams lie in the store, and how they are written.
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
    String workerPrefix();

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
    Either<String, Worker> worker(String id, byte[] value);
}
