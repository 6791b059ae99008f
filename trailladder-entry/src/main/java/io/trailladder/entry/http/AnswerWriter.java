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
package io.trailladder.entry.http;

import io.trailladder.core.memory.MemoryAccount.Reservation;
import io.trailladder.core.memory.ReservationKind;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Writes one answer to its caller. One write is in progress at a time. Further pieces are queued
 * here, where they are counted and can still be dropped, and are sent in larger writes. For a
 * caller that reads as fast as the answer arrives, no queue is made and no memory is reserved.
 */
final class AnswerWriter extends EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>> {
    /**
     * Target size of a write of queued pieces: small enough that an answer which is cut ends soon,
     * and large compared with the head of a chunk.
     */
    private static final int WRITE_BYTES = 16 * 1024;

    /**
     * Memory that a queued piece uses in addition to its bytes: the array header and its place in
     * the queue.
     */
    private static final int PIECE_BYTES = 24;

    /** Number of unsent bytes from which a producer that can wait should wait. */
    private static final int WRITABLE_BYTES = 64 * 1024;

    private static final byte[] NO_BYTES = {};

    private final ServerConnection owner;
    private final ServerExchange exchange;
    private final HttpResponsePacket head;
    private ArrayDeque<byte[]> waiting;
    private List<Runnable> whenWritable;
    private Reservation holding;
    private int waitingBytes;
    private int writingBytes;
    private boolean headSent;
    private boolean writing;
    private boolean writingLast;
    private boolean ended;
    private boolean cut;
    private boolean aborted;
    private volatile int unsentBytes;
    private boolean progressed;
    private int leftAtCheck;
    private long progressMillis;

    AnswerWriter(ServerConnection owner, ServerExchange exchange, HttpResponsePacket head) {
        this.owner = owner;
        this.exchange = exchange;
        this.head = head;
    }

    void write(byte[] bytes, boolean last) {
        boolean queued = writing;
        if (queued) {
            enqueue(bytes);
            ended |= last;
        } else {
            send(bytes, last);
        }
        if (!updateAccount()) {
            endWithoutRoom(queued);
            return;
        }
        if (unsentBytes > owner.server().account().budget().answerBytes()) {
            owner.server().unread().overBound(exchange);
        }
    }

    /**
     * Returns how much of the answer is not yet sent, in bytes, with the overhead of the queue. May
     * be called on any thread.
     */
    int unsentBytes() {
        return unsentBytes;
    }

    boolean isWritable() {
        return unsentBytes < WRITABLE_BYTES;
    }

    void whenWritable(Runnable task) {
        if (isWritable()) {
            task.run();
            return;
        }
        if (whenWritable == null) {
            whenWritable = new ArrayList<>();
        }
        whenWritable.add(task);
    }

    /**
     * Returns for how long the caller has read nothing of the unsent bytes, in milliseconds.
     * Progress is noticed only between calls, so this must be called often.
     */
    long idleMillis(long nowMillis) {
        int left = leftInSocketQueue();
        if (!writing || progressed || left != leftAtCheck) {
            progressed = false;
            leftAtCheck = left;
            progressMillis = nowMillis;
        }
        return nowMillis - progressMillis;
    }

    /**
     * Drops the queued pieces, and closes after the write in progress. The end of the answer is not
     * sent.
     */
    void cut() {
        cut = true;
        waiting = null;
        waitingBytes = 0;
        if (writing) {
            updateAccount();
        } else {
            owner.close();
        }
    }

    /** Closes after all written bytes have been sent, without the end of the answer. */
    void abort() {
        aborted = true;
        if (!writing) {
            owner.close();
        }
    }

    /** Releases the reserved memory, after the connection was closed or everything was written. */
    void release() {
        waiting = null;
        waitingBytes = 0;
        writingBytes = 0;
        unsentBytes = 0;
        if (holding != null) {
            holding.close();
        }
        notifyWritable();
    }

    @Override
    public void completed(WriteResult<HttpContent, SocketAddress> result) {
        if (!writing) {
            return;
        }
        writing = false;
        writingBytes = 0;
        progressed = true;
        if (writingLast) {
            release();
            owner.written(exchange);
        } else if (cut) {
            owner.close();
        } else if (ended || waitingBytes > 0) {
            sendWaiting();
            updateAccount();
        } else if (aborted) {
            owner.close();
        }
    }

    @Override
    public void failed(Throwable cause) {
        owner.terminate();
    }

    /** Ends the answer because its last piece is kept in memory without a reservation. */
    private void endWithoutRoom(boolean queued) {
        owner.server().unread().noRoom(exchange);
        if (!queued) {
            // a cut lets the write in progress complete, but that is the piece without a place
            owner.terminate();
        }
    }

    private void enqueue(byte[] bytes) {
        if (cut || bytes.length == 0) {
            return;
        }
        if (waiting == null) {
            waiting = new ArrayDeque<>();
        }
        waiting.addLast(bytes);
        waitingBytes += bytes.length + PIECE_BYTES;
    }

    private void sendWaiting() {
        byte[] piece = waiting == null ? null : waiting.pollFirst();
        if (piece == null) {
            send(NO_BYTES, true);
            return;
        }
        waitingBytes -= piece.length + PIECE_BYTES;
        byte[] bytes = piece.length >= WRITE_BYTES ? piece : joined(piece);
        send(bytes, ended && waiting.isEmpty());
    }

    /** Joins complete pieces up to the size of a write. */
    private byte[] joined(byte[] first) {
        List<byte[]> pieces = new ArrayList<>();
        pieces.add(first);
        int size = first.length;
        while (!waiting.isEmpty() && size + waiting.peekFirst().length <= WRITE_BYTES) {
            byte[] piece = waiting.pollFirst();
            waitingBytes -= piece.length + PIECE_BYTES;
            size += piece.length;
            pieces.add(piece);
        }
        if (pieces.size() == 1) {
            return first;
        }
        byte[] all = new byte[size];
        int at = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, all, at, piece.length);
            at += piece.length;
        }
        return all;
    }

    @SuppressWarnings("unchecked") // a TCP connection's address type
    private void send(byte[] bytes, boolean last) {
        Connection<SocketAddress> connection = (Connection<SocketAddress>) owner.connection();
        HttpContent content =
                HttpContent.builder(head)
                        .content(Buffers.wrap(connection.getMemoryManager(), bytes))
                        .last(last)
                        .build();
        boolean mayBeEmpty = headSent && bytes.length == 0;
        headSent = true;
        writing = true;
        writingLast = last;
        writingBytes = bytes.length;
        connection.write(null, content, this);
        // Grizzly does not report the completion of an end that needs no bytes.
        if (mayBeEmpty && writing && leftInSocketQueue() == 0) {
            completed(null);
        }
    }

    /** Returns the bytes that the socket has not yet accepted. */
    private int leftInSocketQueue() {
        return ((NIOConnection) owner.connection()).getAsyncWriteQueue().spaceInBytes();
    }

    /**
     * Updates the memory account. Costs nothing while the caller keeps up.
     *
     * @return false if the budget has no room for the unsent bytes
     */
    private boolean updateAccount() {
        int bytes = writingBytes + waitingBytes;
        if (bytes == unsentBytes) {
            return true;
        }
        if (holding == null) {
            holding = owner.server().account().open(ReservationKind.ANSWERS_WAITING);
            progressMillis = owner.server().nowMillis();
        }
        if (!holding.set(bytes)) {
            return false;
        }
        unsentBytes = bytes;
        if (whenWritable != null && isWritable()) {
            notifyWritable();
        }
        return true;
    }

    private void notifyWritable() {
        if (whenWritable != null) {
            List<Runnable> tasks = whenWritable;
            whenWritable = null;
            tasks.forEach(Runnable::run);
        }
    }
}
