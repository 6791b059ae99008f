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
package io.trailladder.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Every future may fail with {@link PlatformException}.
 *
 * @since 0.1
 */
public interface KeyValueStore {
    /** The expected version of a key that must not exist. */
    long ABSENT = 0;

    /**
     * A key with its value and version.
     *
     * @param key the key
     * @param value the value; null in a watch if the key was deleted
     * @param version version of the key, for the next conditional write
     */
    record Item(String key, String value, long version) {}

    /**
     * The result of a watch or list.
     *
     * @param items the items
     * @param revision the service's revision, from which to continue watching
     */
    record Batch(List<Item> items, long revision) {
        /** Makes an unmodifiable copy of the items. */
        public Batch {
            items = List.copyOf(items);
        }
    }

    /**
     * Reads a value.
     *
     * @param key the key
     * @return the item, if the key exists
     */
    CompletableFuture<Optional<Item>> get(String key);

    /**
     * Writes a value if the key still has the expected version.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @param expectedVersion the version; {@link #ABSENT} to create the key
     * @return the new version, or empty if the key has another version
     */
    CompletableFuture<Optional<Long>> put(String key, String value, long expectedVersion);

    /**
     * Writes a value that is deleted when its lease expires.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease's name
     * @return completes when the service has confirmed the call
     */
    CompletableFuture<Void> putLeased(String key, String value, String lease);

    /**
     * Deletes a key.
     *
     * @param key the key
     * @return completes when the service has confirmed the call
     */
    CompletableFuture<Void> delete(String key);

    /**
     * Grants or renews a lease.
     *
     * @param lease its name
     * @param ttlMillis how long it lasts from now, in milliseconds
     * @return completes when the service has confirmed the call
     */
    CompletableFuture<Void> renew(String lease, long ttlMillis);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the items
     */
    CompletableFuture<Batch> list(String prefix);

    /**
     * Waits for changes of keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision only changes after this revision
     * @param timeoutMillis maximum wait, in milliseconds; after it the batch is empty
     * @return the changed items
     */
    CompletableFuture<Batch> watch(String prefix, long afterRevision, long timeoutMillis);
}
