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
 * The policy in force here. Only higher versions replace it, wherever they come from.
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
     * Creates a keeper that knows no policy.
     *
     * @param format how policies are written
     */
    public PolicyManager(PlatformFormat format) {
        this.format = format;
    }

    /**
     * Has a listener told of every new policy.
     *
     * @param listener the listener
     */
    public void onChange(Consumer<ServingPolicy> listener) {
        listeners.add(listener);
    }

    /**
     * Takes a policy over if it is higher than the one in force.
     *
     * @param value its bytes
     * @param source where it came from
     * @return true if it is now in force
     */
    public boolean offer(byte[] value, String source) {
        Either<String, ServingPolicy> read = format.policy(value);
        if (read.isLeft()) {
            Logger.warn("policy from {} cannot be read: {}", source, read.getLeft());
            return false;
        }
        ServingPolicy offered = read.get();
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
     * @return the policy; empty if none is known yet
     */
    public Optional<ServingPolicy> policy() {
        return Optional.ofNullable(policy);
    }

    /**
     * Returns the version in force.
     *
     * @return the version; 0 if none is known
     */
    public long version() {
        return policy == null ? 0 : policy.version();
    }

    /**
     * Returns the policy in force as the platform wrote it.
     *
     * @return the bytes; none if none is known
     */
    public byte[] bytes() {
        return bytes;
    }
}
