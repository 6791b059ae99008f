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

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.mesh.PeerMesh;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This process's own entry in the store, under a lease, and those of the others.
 *
 * @since 0.2
 */
public final class Membership implements StoreWatcher.Listener {
    /** Prefix of the keys of all processes; their names follow it. */
    public static final String PREFIX = "trailladder/live/node/";

    private static final long TTL_MILLIS = 8_000;
    private static final long RENEW_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 700;

    private final EventLoop loop;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final PeerMesh mesh;
    private final ClusterView view;
    private final String key;
    private final String address;
    private final Map<String, String> addresses = new HashMap<>();
    private long ownRevision;
    private long lease;
    private boolean stopped;

    /**
     * Creates the entry of a process; it is not yet written.
     *
     * @param loop the loop whose thread runs it
     * @param store the store
     * @param health told of answers and failures
     * @param mesh told of the others' addresses
     * @param view told of the others' names
     * @param name this process's name
     * @param address where it takes links
     */
    public Membership(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            PeerMesh mesh,
            ClusterView view,
            String name,
            String address) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.mesh = mesh;
        this.view = view;
        this.key = PREFIX + name;
        this.address = address;
    }

    /** Writes the entry, and keeps it. */
    public void start() {
        store.grant(TTL_MILLIS, this::granted);
    }

    /** Takes the entry away. */
    public void stop() {
        stopped = true;
        if (lease != 0) {
            store.end(lease, ended -> {});
        }
    }

    @Override
    public void listed(List<StoreItem> items, long revision) {
        addresses.clear();
        ownRevision = 0;
        items.forEach(this::take);
        tell();
    }

    @Override
    public void changed(StoreItem item) {
        take(item);
        tell();
    }

    private void take(StoreItem item) {
        String name = item.key().substring(PREFIX.length());
        if (item.key().equals(key)) {
            ownRevision = item.gone() ? 0 : item.revision();
        }
        if (item.gone()) {
            addresses.remove(name);
        } else {
            addresses.put(name, new String(item.value(), StandardCharsets.UTF_8));
        }
    }

    private void tell() {
        mesh.members(addresses.values());
        view.members(addresses.keySet());
    }

    private void granted(Either<StoreFailure, Long> result) {
        if (stopped) {
            return;
        }
        if (result.isLeft()) {
            retryLater(result.getLeft());
            return;
        }
        health.answered();
        lease = result.get();
        byte[] value = address.getBytes(StandardCharsets.UTF_8);
        store.write(new StoreWrite(key, value, ownRevision, lease), this::written);
    }

    private void written(Either<StoreFailure, Long> result) {
        if (result.isLeft()) {
            retryLater(result.getLeft());
            return;
        }
        health.answered();
        ownRevision = result.get();
        loop.schedule(RENEW_MILLIS, this::renew);
    }

    private void renew() {
        if (!stopped) {
            store.renew(lease, this::renewed);
        }
    }

    private void renewed(Either<StoreFailure, Long> result) {
        if (result.isLeft() && result.getLeft() == StoreFailure.LEASE_GONE) {
            health.answered();
            start();
            return;
        }
        if (result.isLeft()) {
            health.failed(result.getLeft());
            loop.schedule(RETRY_MILLIS, this::renew);
            return;
        }
        health.answered();
        loop.schedule(RENEW_MILLIS, this::renew);
    }

    private void retryLater(StoreFailure failure) {
        health.failed(failure);
        loop.schedule(RETRY_MILLIS, this::readOwn);
    }

    /**
     * After a conflict or a lost answer the entry's revision is read before it is written again.
     */
    private void readOwn() {
        if (stopped) {
            return;
        }
        store.read(
                key,
                result -> {
                    result.peek(item -> ownRevision = item.gone() ? 0 : item.revision());
                    start();
                });
    }
}
