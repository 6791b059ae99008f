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
 * A process that serves requests: a model engine or a plain service.
 *
 * @param id the name of the instance, which is never reused for another instance
 * @param dataCentre the data centre in which it runs
 * @param address host and port, for example {@code 127.0.0.7:8000}
 * @param target the model or service that it serves
 * @since 0.1
 */
public record LocalUpstream(String id, String dataCentre, String address, String target) {}
