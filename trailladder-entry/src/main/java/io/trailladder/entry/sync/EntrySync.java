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
package io.trailladder.entry.sync;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.platform.KeyValueStore;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Registers this entry with the platform under a lease, and reads the list of the other entries.
 *
 * @since 0.1
 */
public final class EntrySync {
    /** The prefix of the keys of entries. */
    public static final String PREFIX = "entries/";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LEASE_MILLIS = 30_000;
    private static final long RENEW_INTERVAL_MILLIS = 8_000;
    private static final long RETRY_DELAY_MILLIS = 1_000;
    private static final long READER_LIST_INTERVAL_MILLIS = 2_000;
    private static final long OTHER_LIST_INTERVAL_MILLIS = 30_000;
    private static final int READERS = 2;

    private final EntryInfo self;
    private final KeyValueStore store;
    private final PeerLinks links;
    private final Members members;
    private final ScheduledExecutorService timer;
    private volatile boolean stopped;

    /**
     * Creates the sync.
     *
     * @param self the description of this entry
     * @param store the platform's key-value service
     * @param links sends to peers
     * @param members receives the other entries
     * @param timer runs the delayed tasks
     */
    public EntrySync(
            EntryInfo self,
            KeyValueStore store,
            PeerLinks links,
            Members members,
            ScheduledExecutorService timer) {
        this.self = self;
        this.store = store;
        this.links = links;
        this.members = members;
        this.timer = timer;
    }

    /** Starts registering this entry and listing the others. */
    public void start() {
        register();
        list();
    }

    /** Stops, and deletes the registration. */
    public void stop() {
        stopped = true;
        store.delete(PREFIX + self.id())
                .exceptionally(
                        failure -> {
                            Logger.debug(
                                    "deleting the registration failed; it expires with its lease");
                            return null;
                        });
    }

    private void register() {
        if (stopped) {
            return;
        }
        store.renew(self.id(), LEASE_MILLIS)
                .thenCompose(done -> store.putLeased(PREFIX + self.id(), json(self), self.id()))
                .whenComplete(
                        (done, failure) ->
                                schedule(
                                        failure == null ? this::renew : this::register,
                                        failure == null
                                                ? RENEW_INTERVAL_MILLIS
                                                : RETRY_DELAY_MILLIS));
    }

    private void renew() {
        if (stopped) {
            return;
        }
        // the lease may have expired during an outage, so the key is written again after a failure
        store.renew(self.id(), LEASE_MILLIS)
                .whenComplete(
                        (done, failure) ->
                                schedule(
                                        failure == null ? this::renew : this::register,
                                        failure == null
                                                ? RENEW_INTERVAL_MILLIS
                                                : RETRY_DELAY_MILLIS));
    }

    private void list() {
        if (stopped) {
            return;
        }
        boolean reader = members.rank("entries") < READERS;
        store.list(PREFIX)
                .whenComplete(
                        (batch, failure) -> {
                            if (failure == null) {
                                listed(batch);
                            }
                            schedule(
                                    this::list,
                                    reader
                                            ? READER_LIST_INTERVAL_MILLIS
                                            : OTHER_LIST_INTERVAL_MILLIS);
                        });
    }

    private void listed(KeyValueStore.Batch batch) {
        List<EntryInfo> entries = new ArrayList<>();
        for (KeyValueStore.Item item : batch.items()) {
            try {
                entries.add(JSON.readValue(item.value(), EntryInfo.class));
            } catch (JsonProcessingException e) {
                Logger.warn("registration {} is malformed, expected an entry as JSON", item.key());
            }
        }
        if (members.listed(entries, System.currentTimeMillis())) {
            links.sendAll(new PeerMessage.Members(members.known()));
        }
    }

    private void schedule(Runnable task, long delayMillis) {
        timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static String json(EntryInfo entry) {
        try {
            return JSON.writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
