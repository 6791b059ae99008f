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
 * The capabilities of the upstreams of a model service.
 *
 * @param slots number of requests that an engine processes at the same time
 * @param cacheTokens capacity of an engine's cache, in tokens
 * @param copiesCache true if engines copy the cache of a running request to one another
 * @param cacheCopyMillis how long a copied cache is kept, in milliseconds
 * @since 0.2
 */
public record EngineSpec(int slots, long cacheTokens, boolean copiesCache, long cacheCopyMillis) {}
