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
 * What the upstreams of a model service can do.
 *
 * @param slots requests an engine works on at once
 * @param cacheTokens tokens its memory holds
 * @param copiesCache true if engines copy the memory of a running request to one another
 * @param cacheCopyMillis how long a copied memory is kept, in milliseconds
 * @since 0.2
 */
public record EngineSpec(int slots, long cacheTokens, boolean copiesCache, long cacheCopyMillis) {}
