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
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.tinylog.Logger;

/**
 * Follows the keys with one prefix: reads them all, then watches for changes, and reads them all
 * again whenever a change may have been missed.
 *
 * @since 0.2
 */
public final class StoreWatcher {
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;

    /**
     * Delay between a list and the first watch after it, in milliseconds. Most processes that start
     * receive the state from a peer within this time and save the watch, which is a paid call.
     */
    private static final long FIRST_WATCH_DELAY_MILLIS = 400;

    private static final long INITIAL_BACKOFF_MILLIS = 150;
    private static final long MAX_BACKOFF_MILLIS = 1_200;

    /** Maximum length of the platform's values, in bytes. */
    private static final int DEFAULT_MAX_VALUE_BYTES = 1 << 20;

    private final EventLoop loop;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final SplittableRandom random;
    private final String prefix;
    private final long pauseMillis;
    private final Listener listener;
    private final List<StoreItem> listed = new ArrayList<>();
    private final LogRate faults = new LogRate();
    private Runnable cancelWatch = () -> {};
    private long revision;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private int round;
    private boolean complete;
    private boolean running;
    private boolean watching;

    /** Receives the keys and their changes. */
    public interface Listener {
        /**
         * Called with all keys.
         *
         * @param items the keys
         * @param revision the store's revision
         */
        void listed(List<StoreItem> items, long revision);

        /**
         * Called with each change.
         *
         * @param item the changed or removed key
         */
        void changed(StoreItem item);

        /** Called when an answer of the store shows that no change was missed. */
        default void confirmedCurrent() {}

        /**
         * Returns whether a key is followed. Other writers may add keys that only begin with the
         * same prefix.
         *
         * @param key the key
         * @return false to pass it over
         */
        default boolean follows(String key) {
            return true;
        }

        /**
         * Returns the maximum length of a value. Longer ones are truncated, so that the values of
         * other writers do not fill the memory.
         *
         * @return the length, in bytes
         */
        default int maxValueBytes() {
            return DEFAULT_MAX_VALUE_BYTES;
        }
    }

    /**
     * Creates a watcher.
     *
     * @param loop the event loop that runs it
     * @param store the store
     * @param health notified of answers and failures
     * @param random spreads repeated calls over time
     * @param prefix the prefix to follow
     * @param pauseMillis pause after changes, in milliseconds, so that one call returns several
     *     changes in quick succession
     * @param listener receives the keys
     */
    public StoreWatcher(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            SplittableRandom random,
            String prefix,
            long pauseMillis,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.random = random;
        this.prefix = prefix;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
        health.onRegained(this::resume);
        health.history().onReplaced(this::resume);
    }

    /** Starts or restarts by reading all keys. */
    public void restart() {
        stop();
        running = true;
        listed.clear();
        list(round, "");
    }

    /**
     * Reads all keys again if they are followed, because the watch did not report a known change.
     */
    public void relist() {
        if (running) {
            DecisionLog.write(
                    new DecisionLog.Lifecycle(
                            "watch of " + prefix, "anew", "watch reported no change"));
            restart();
        }
    }

    /** Stops following the keys. */
    public void stop() {
        running = false;
        watching = false;
        round++;
        cancelWatch.run();
        cancelWatch = () -> {};
    }

    /**
     * Returns whether the keys are followed.
     *
     * @return false before the start and after a stop
     */
    public boolean isRunning() {
        return running;
    }

    /**
     * Returns whether the store has been asked to report changes and has not failed to.
     *
     * @return false while all keys are read
     */
    public boolean isWatching() {
        return watching;
    }

    /**
     * Returns whether all keys were read at least once.
     *
     * @return true if they were
     */
    public boolean isComplete() {
        return complete;
    }

    private void list(int current, String afterKey) {
        store.list(
                prefix,
                afterKey,
                Freshness.LATEST,
                result ->
                        currentResult(current, result)
                                .ifPresent(batch -> page(current, afterKey, batch)));
    }

    /** Returns the result of a call, unless the call failed or belongs to an earlier round. */
    private Optional<StoreBatch> currentResult(
            int current, Either<StoreFailure, StoreBatch> result) {
        if (current != round) {
            return Optional.empty();
        }
        if (result.isLeft()) {
            failed(current, result.getLeft());
            return Optional.empty();
        }
        // the first answer after a failure starts a new round
        health.answered();
        return current == round ? Optional.of(result.get()) : Optional.empty();
    }

    private void page(int current, String afterKey, StoreBatch batch) {
        if (afterKey.isEmpty()) {
            revision = batch.revision();
        }
        batch.items().stream().filter(this::isFollowed).map(this::bounded).forEach(listed::add);
        if (batch.more() && !batch.items().isEmpty()) {
            nextPage(current, afterKey, batch.items().get(batch.items().size() - 1).key());
            return;
        }
        complete = true;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        List<StoreItem> all = List.copyOf(listed);
        listed.clear();
        apply(prefix, () -> listener.listed(all, revision));
        loop.schedule(FIRST_WATCH_DELAY_MILLIS, () -> watchIfCurrent(current));
    }

    /** Reads the next page; one that ends with the same key as the page before would never end. */
    private void nextPage(int current, String afterKey, String lastKey) {
        if (lastKey.isEmpty() || lastKey.equals(afterKey)) {
            failed(current, StoreFailure.UNANSWERED);
        } else {
            list(current, lastKey);
        }
    }

    private boolean isFollowed(StoreItem item) {
        return item.key().startsWith(prefix) && listener.follows(item.key());
    }

    private StoreItem bounded(StoreItem item) {
        return item.value().length <= listener.maxValueBytes()
                ? item
                : new StoreItem(
                        item.key(),
                        Arrays.copyOf(item.value(), listener.maxValueBytes()),
                        item.revision(),
                        item.createdRevision(),
                        item.removed());
    }

    /** Has the listener apply a change; the next ones are followed even if it fails. */
    private void apply(String subject, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            if (faults.allows(loop.nowMillis())) {
                Logger.error(e, "store entries {} could not be applied", subject);
            }
        }
    }

    private void watch(int current) {
        watching = true;
        cancelWatch =
                store.watch(
                        prefix,
                        revision,
                        WATCH_TIMEOUT_MILLIS,
                        result ->
                                currentResult(current, result)
                                        .ifPresent(batch -> changes(current, batch)));
    }

    private void changes(int current, StoreBatch batch) {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        listener.confirmedCurrent();
        for (StoreItem item : batch.items()) {
            revision = Math.max(revision, item.revision());
            if (isFollowed(item)) {
                apply(item.key(), () -> listener.changed(bounded(item)));
            }
        }
        revision = Math.max(revision, batch.revision());
        if (batch.items().isEmpty() || pauseMillis == 0) {
            watch(current);
        } else {
            loop.schedule(pauseMillis, () -> watchIfCurrent(current));
        }
    }

    private void watchIfCurrent(int current) {
        if (current == round) {
            watch(current);
        }
    }

    private void resume() {
        if (running) {
            restart();
        }
    }

    /** Reads all keys again after a back-off, or without one if the store has lost its history. */
    private void failed(int current, StoreFailure failure) {
        health.failed(failure);
        if (current != round) {
            return;
        }
        watching = false;
        long pause = failure == StoreFailure.HISTORY_LOST ? 0 : backoffMillis;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        long jittered = pause / 2 + random.nextLong(pause / 2 + 1);
        round++;
        int next = round;
        listed.clear();
        loop.schedule(
                jittered,
                () -> {
                    if (next == round) {
                        list(next, "");
                    }
                });
    }
}
