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
package io.trailladder.entry.relay;

import io.trailladder.entry.loop.EventLoop;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.function.LongConsumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.nio.NIOConnection;
import org.tinylog.Logger;

/** Passes bytes on in one direction, and reads no more than the receiver takes. */
final class RelayPump {
    /** Number of waiting bytes from which no more are read. */
    private static final int MAX_WAITING_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final NIOConnection source;
    private final Connection<SocketAddress> receiver;
    private final LongConsumer waitingChanged;
    private long waiting;
    private long passedOn;
    private boolean paused;
    private Runnable onDrained;

    /**
     * Creates a pump.
     *
     * @param loop the loop on whose thread it runs
     * @param source the connection that is read
     * @param receiver the connection that is written
     * @param waitingChanged receives each change of the number of waiting bytes
     */
    @SuppressWarnings("unchecked") // a TCP connection's address type
    RelayPump(
            EventLoop loop,
            Connection<?> source,
            Connection<?> receiver,
            LongConsumer waitingChanged) {
        this.loop = loop;
        this.source = (NIOConnection) source;
        this.receiver = (Connection<SocketAddress>) receiver;
        this.waitingChanged = waitingChanged;
    }

    /** Writes bytes, of which some were received and the others frame these. */
    void write(Buffer bytes, int received) {
        int count = bytes.remaining();
        passedOn += received;
        waiting(count);
        receiver.write(
                null,
                bytes,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        written(count);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        waiting(-count);
                        receiver.terminateSilently();
                    }
                });
        if (waiting > MAX_WAITING_BYTES && !paused) {
            paused = true;
            // after the current read, which enables reading again when it ends
            loop.execute(this::applyPause);
        }
    }

    /** Runs a task once all bytes are written. */
    void onDrained(Runnable task) {
        if (waiting == 0) {
            task.run();
        } else {
            onDrained = task;
        }
    }

    long passedOn() {
        return passedOn;
    }

    /** Returns the number of bytes that are not yet written. */
    long waiting() {
        return waiting;
    }

    private void waiting(int change) {
        waiting += change;
        waitingChanged.accept(change);
    }

    private void written(int count) {
        waiting(-count);
        if (paused && waiting <= MAX_WAITING_BYTES / 2) {
            paused = false;
            loop.execute(this::applyPause);
        }
        if (waiting == 0 && onDrained != null) {
            Runnable task = onDrained;
            onDrained = null;
            task.run();
        }
    }

    private void applyPause() {
        if (!source.isOpen()) {
            return;
        }
        try {
            if (paused) {
                source.disableIOEvent(IOEvent.READ);
            } else {
                source.enableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            Logger.warn("relayed connection closed: {}", e.getMessage());
            source.terminateSilently();
        }
    }
}
