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
package io.trailladder.entry.port;

/**
 * A conditional write of one key.
 *
 * @param key the key
 * @param value the new value
 * @param expectedRevision the revision the key must have; 0 if it must be absent
 * @param lease the lease with whose end the key is removed; 0 for none
 * @since 0.2
 */
public record StoreWrite(String key, byte[] value, long expectedRevision, long lease) {}
