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

import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.RequestProtocol;

/**
 * The four parts of a platform adapter.
 *
 * @param protocol encodes and decodes requests in HTTP heads
 * @param format encodes and decodes the platform's entries in the store
 * @param store the coordination store
 * @param duties the calls that only the leader makes
 * @since 0.2
 */
public record PlatformAdapter(
        RequestProtocol protocol, PlatformFormat format, CoordinationStore store, DutyApi duties) {}
