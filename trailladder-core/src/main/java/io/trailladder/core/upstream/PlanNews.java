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

import java.util.Map;

/**
 * What a process tells others of its current plan.
 *
 * @param baseNumber the number of the plan whose changes are told; 0 if the whole plan is
 * @param changes the slots of each version by service
 * @since 0.7
 */
public record PlanNews(long baseNumber, Map<String, Map<String, Integer>> changes) {}
