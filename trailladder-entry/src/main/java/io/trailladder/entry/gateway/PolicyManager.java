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
import io.trailladder.entry.gateway.DecisionLog.Belief;
import io.trailladder.entry.port.PlatformFormat;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Holds the policy in force in this process. Only a higher version replaces it, whatever its
 * source.
 *
 * @since 0.2
 */
public final class PolicyManager {
    private static final byte[] NO_BYTES = {};

    private final PlatformFormat format;
    private final List<Consumer<ServingPolicy>> listeners = new ArrayList<>();
    private ServingPolicy policy;
    private byte[] bytes = NO_BYTES;

    /**
     * Creates a manager without a policy.
     *
     * @param format decodes policies
     */
    public PolicyManager(PlatformFormat format) {
        this.format = format;
    }

    /**
     * Adds a listener that is called with every new policy.
     *
     * @param listener the listener
     */
    public void onChange(Consumer<ServingPolicy> listener) {
        listeners.add(listener);
    }

    /**
     * Puts a policy into force if its version is higher than the current one.
     *
     * @param value the encoded policy
     * @param source where it came from, for the log
     * @return true if it is now in force
     */
    public boolean offer(byte[] value, String source) {
        Either<String, ServingPolicy> decoded = format.policy(value);
        if (decoded.isLeft()) {
            Logger.warn("policy from {} cannot be read: {}", source, decoded.getLeft());
            return false;
        }
        ServingPolicy offered = decoded.get();
        if (policy != null && offered.version() <= policy.version()) {
            return false;
        }
        policy = offered;
        bytes = value;
        DecisionLog.write(
                new Belief("policy", offered.routes().size() + " routes", source, version()));
        listeners.forEach(listener -> listener.accept(offered));
        return true;
    }

    /**
     * Returns the policy in force.
     *
     * @return the policy; empty if none was received yet
     */
    public Optional<ServingPolicy> policy() {
        return Optional.ofNullable(policy);
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 if no policy is known
     */
    public long version() {
        return policy == null ? 0 : policy.version();
    }

    /**
     * Returns the policy in force as the platform wrote it.
     *
     * @return the encoded policy; an empty array if none is known
     */
    public byte[] bytes() {
        return bytes;
    }
}
