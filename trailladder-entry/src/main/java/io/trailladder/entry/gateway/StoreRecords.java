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

import io.trailladder.entry.gateway.StoreCalls.Purpose;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/** The records of a process in the platform's store. */
final class StoreRecords {
    private final EventLoop loop;
    private final Function<Purpose, CoordinationStore> stores;
    private final StoreHealth health;
    private final BooleanSupplier leads;
    private final List<Consumer<Boolean>> starts = new ArrayList<>();

    /**
     * Creates an instance without records.
     *
     * @param loop the loop of this process
     * @param stores returns the store that counts calls of a purpose
     * @param health receives how calls end
     * @param leads whether this process leads
     */
    StoreRecords(
            EventLoop loop,
            Function<Purpose, CoordinationStore> stores,
            StoreHealth health,
            BooleanSupplier leads) {
        this.loop = loop;
        this.stores = stores;
        this.health = health;
        this.leads = leads;
    }

    /**
     * Adds a record.
     *
     * @param purpose the purpose of its calls
     * @param key its key
     * @param freshness how recent the value must be that is read at the start
     * @param checkIntervalMillis how often the leader checks for changes to write, in milliseconds
     * @param content what it holds
     * @param <T> what it tells
     * @return the record
     */
    <T> StoreRecord<T> add(
            Purpose purpose,
            String key,
            Freshness freshness,
            long checkIntervalMillis,
            StoreRecord.Content<T> content) {
        StoreRecord<T> record =
                new StoreRecord<>(
                        loop, stores.apply(purpose), health, leads, key, freshness, content);
        starts.add(firstStart -> record.start(firstStart, checkIntervalMillis));
        return record;
    }

    /**
     * Starts to read and write all records.
     *
     * @param firstStart true if no record was written before, so that none is read
     */
    void start(boolean firstStart) {
        starts.forEach(start -> start.accept(firstStart));
    }
}
