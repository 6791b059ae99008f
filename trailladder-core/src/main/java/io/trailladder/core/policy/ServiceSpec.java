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

import java.util.Optional;

/**
 * One service that requests are sent to.
 *
 * @param name the service's name
 * @param maxConnections highest number of connections that an upstream of it accepts from all
 *     entries together
 * @param engine the capabilities of its engines; empty for a plain service
 * @param scaling how many upstreams may be ordered; empty if none are ordered
 * @since 0.2
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<ScalingSpec> scaling) {}
