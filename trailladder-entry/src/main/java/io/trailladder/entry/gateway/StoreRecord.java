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

import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.CoordinationStore.Freshness;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A record in the platform's store that outlives a loss of all processes at once. The leader writes
 * it when its content changes, and every process reads it when it starts.
 *
 * @param <T> what the record tells; equal values are not written again
 */
final class StoreRecord<T> {
    /** How often the leader checks for changes to write by default, in milliseconds. */
    static final long WRITE_CHECK_INTERVAL_MILLIS = 1_000;

    /** Timeout of a read on request, in milliseconds. */
    private static final long READ_TIMEOUT_MILLIS = 600;

    /** Delay between a failed read and the next one, in milliseconds. */
    private static final long READ_RETRY_MILLIS = 2_000;

    /** Max. number of reads without success: the store may be unreachable for long. */
    private static final int MAX_READS = 10;

    private final EventLoop loop;
    private final CoordinationStore store;
    private final StoreHealth health;
    private final BooleanSupplier leads;
    private final String key;
    private final Freshness freshness;
    private final Content<T> content;
    private final StoreReads reads;
    private Optional<T> written;
    private long revision;
    private int failedReads;
    private boolean loaded;
    private boolean busy;
    private final List<PendingRead> nextReads = new ArrayList<>();
    private boolean reading;
    private boolean replaced;

    /** What a record holds. */
    interface Content<T> {
        /** Returns what the absence of a record tells; empty if that tells nothing. */
        default Optional<T> absent() {
            return Optional.empty();
        }

        /** Returns what the record must tell now; empty to leave it as it is. */
        Optional<T> current();

        /** Encodes what {@link #current} returned. */
        byte[] encode(T value);

        /**
         * Notifies the content that a value has been written.
         *
         * @param value what {@link #current} returned
         */
        default void written(T value) {}

        /** Notifies the content that a read begins. */
        default void readBegins() {}

        /**
         * Receives a value that was read.
         *
         * @param value the value; empty if there is no record
         * @return false if the value may be outdated, so that it must be read again
         * @throws IOException if it is invalid
         */
        boolean read(Optional<byte[]> value) throws IOException;
    }

    /**
     * Creates a record.
     *
     * @param loop the loop of this process
     * @param store the store
     * @param health receives how calls end
     * @param leads whether this process leads
     * @param key the key of the record
     * @param freshness how recent the value must be that is read at the start
     * @param content what the record holds
     */
    StoreRecord(
            EventLoop loop,
            CoordinationStore store,
            StoreHealth health,
            BooleanSupplier leads,
            String key,
            Freshness freshness,
            Content<T> content) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.leads = leads;
        this.key = key;
        this.freshness = freshness;
        this.content = content;
        this.written = content.absent();
        this.reads = new StoreReads(loop, health, this::isLoaded, this::load);
        health.history().onReplaced(this::historyReplaced);
    }

    /**
     * Starts to read and write the record.
     *
     * @param firstStart true if no record was written before, so that none is read
     * @param checkIntervalMillis how often the leader checks for changes to write, in milliseconds
     */
    void start(boolean firstStart, long checkIntervalMillis) {
        if (firstStart) {
            loaded = passOn(Optional.empty());
        } else {
            reads.begin();
        }
        loop.repeat(checkIntervalMillis, this::writeChanges);
    }

    /**
     * Reads the record. Reads that are requested while one is in progress share the next one.
     *
     * @param done receives whether the content has accepted the value, or the absence of one
     */
    void read(Consumer<Boolean> done) {
        PendingRead read = new PendingRead(done);
        loop.schedule(READ_TIMEOUT_MILLIS, () -> read.end(false));
        nextReads.add(read);
        if (!reading) {
            readNext();
        }
    }

    private void readNext() {
        reading = !nextReads.isEmpty();
        if (reading) {
            List<PendingRead> current = List.copyOf(nextReads);
            nextReads.clear();
            content.readBegins();
            store.read(key, result -> readEnded(current, result));
        }
    }

    private void readEnded(List<PendingRead> current, Either<StoreFailure, StoreItem> result) {
        boolean accepted = false;
        if (result.isRight()) {
            health.answered();
            StoreItem item = result.get();
            revision = item.revision();
            accepted = isAccepted(item.removed() ? Optional.empty() : Optional.of(item.value()));
        } else {
            health.failed(result.getLeft());
        }
        for (PendingRead read : current) {
            read.end(accepted);
        }
        readNext();
    }

    /** A read that was requested. */
    private static final class PendingRead {
        private final Consumer<Boolean> done;
        private boolean ended;

        PendingRead(Consumer<Boolean> done) {
            this.done = done;
        }

        void end(boolean accepted) {
            if (!ended) {
                ended = true;
                done.accept(accepted);
            }
        }
    }

    /** Returns whether the earlier record was read, or there was none to read. */
    boolean isLoaded() {
        return loaded;
    }

    /**
     * Has the leader read the record and write it again: the store may have lost what was written.
     */
    private void historyReplaced() {
        revision = 0;
        written = content.absent();
        busy = false;
        replaced = true;
    }

    private void load(int read) {
        content.readBegins();
        store.list(key, "", freshness, result -> onLoaded(read, result));
    }

    private void onLoaded(int read, Either<StoreFailure, StoreBatch> result) {
        if (!reads.ended(read, result)) {
            return;
        }
        if (result.isRight()) {
            loaded =
                    result.get().items().stream()
                            .filter(item -> item.key().equals(key))
                            .findFirst()
                            .map(this::apply)
                            .orElseGet(() -> passOn(Optional.empty()));
        }
        if (!loaded) {
            failedReads++;
        }
        if (!loaded && failedReads < MAX_READS) {
            reads.beginAfter(READ_RETRY_MILLIS);
        }
    }

    private boolean apply(StoreItem item) {
        revision = item.revision();
        return passOn(item.removed() ? Optional.empty() : Optional.of(item.value()));
    }

    private boolean passOn(Optional<byte[]> value) {
        try {
            return content.read(value);
        } catch (IOException e) {
            logPassedOver(e);
            return true;
        }
    }

    /** Passes a value on; returns false if it cannot be read. */
    private boolean isAccepted(Optional<byte[]> value) {
        try {
            return content.read(value);
        } catch (IOException e) {
            logPassedOver(e);
            return false;
        }
    }

    private void logPassedOver(IOException cause) {
        DecisionLog.write(new Lifecycle(key, "passed over", cause.getMessage()));
    }

    private void writeChanges() {
        if (busy || !leads.getAsBoolean()) {
            return;
        }
        if (replaced) {
            replaced = false;
            readBack();
            return;
        }
        Optional<T> current = content.current();
        if (current.isPresent() && !current.equals(written)) {
            write(current);
        }
    }

    private void write(Optional<T> current) {
        byte[] value = content.encode(current.get());
        busy = true;
        store.write(new StoreWrite(key, value, revision, 0), result -> onWritten(current, result));
    }

    private void onWritten(Optional<T> value, Either<StoreFailure, Long> result) {
        busy = false;
        if (result.isRight()) {
            health.answered();
            revision = result.get();
            written = value;
            value.ifPresent(content::written);
            return;
        }
        health.failed(result.getLeft());
        if (result.getLeft() == StoreFailure.CONFLICT
                || result.getLeft() == StoreFailure.UNANSWERED) {
            // another leader has written, or this write was done though its answer was lost
            readBack();
        }
    }

    private void readBack() {
        busy = true;
        content.readBegins();
        store.read(key, this::onReadBack);
    }

    private void onReadBack(Either<StoreFailure, StoreItem> result) {
        busy = false;
        if (result.isRight()) {
            health.answered();
            apply(result.get());
        } else {
            health.failed(result.getLeft());
        }
    }
}
