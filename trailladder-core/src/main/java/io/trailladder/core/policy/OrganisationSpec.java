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

import java.util.List;
import java.util.OptionalInt;

/**
 * One organisation.
 *
 * @param name the organisation's name
 * @param keys its keys
 * @param priority its priority, which overrides that of a route; empty if it has none
 * @param limit its rate limit
 * @since 0.2
 */
public record OrganisationSpec(
        String name, List<String> keys, OptionalInt priority, RateSpec limit) {
    /** Copies the keys into an unmodifiable list. */
    public OrganisationSpec {
        keys = List.copyOf(keys);
    }
}
