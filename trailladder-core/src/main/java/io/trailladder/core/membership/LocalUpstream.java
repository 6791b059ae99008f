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
package io.trailladder.core.membership;

/**
 * One process that serves requests: a model engine or a plain service.
 *
 * @param id the instance's name; never used again for another instance
 * @param dataCentre where it runs
 * @param address host and port, for example {@code 127.0.0.7:8000}
 * @param target the model or service it serves
 * @since 0.1
 */
public record LocalUpstream(String id, String dataCentre, String address, String target) {}
