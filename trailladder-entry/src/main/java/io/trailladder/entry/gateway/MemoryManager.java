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

import io.trailladder.core.memory.AnswerChoice;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryLevel;
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.memory.WaitingAnswer;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.http.UnreadAnswers;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps the process within its memory budget: decides whether requests may be accepted, and ends
 * unread answers when memory runs short. Calls that the process itself needs to keep running are
 * not subject to it.
 *
 * @since 0.2
 */
public final class MemoryManager implements UnreadAnswers {
    /** Interval between calls of {@link #tick}, in milliseconds. */
    public static final long CHECK_INTERVAL_MILLIS = 250;

    /**
     * Time without a read by the caller, in milliseconds, after which an answer above its bound is
     * ended: a resumable stream at any memory level, any other answer at level {@code PRESSED}.
     * While the caller keeps reading, an answer of any size is delivered as long as there is
     * memory; resumable streams above the bound are ended in any case if the level is not {@code
     * CALM}.
     */
    private static final long STALL_TIMEOUT_MILLIS = 1_000;

    /** Divides the bound of buffered bytes per answer at level {@code PRESSED}. */
    private static final int PRESSED_DIVISOR = 4;

    /** Divides that bound at level {@code FULL}: a thousand such answers fit into the budget. */
    private static final int FULL_DIVISOR = 64;

    private final MemoryAccount account;
    private final MemoryMetrics metrics;
    private final LongSupplier nowMillis;
    private final Consumer<Runnable> deferred;
    private Supplier<List<ServerExchange>> unread = List::of;
    private boolean tickPending;

    /** The reason why an answer was ended before its caller had received all of it. */
    public enum CutReason {
        /** The caller read nothing for the idle time-out of the policy. */
        NOT_READ,
        /** The unread bytes exceeded the bound for one answer. */
        OVER_BOUND,
        /**
         * The memory level was {@code FULL}, and the answer was chosen to free memory; or the
         * budget had no room for its next piece.
         */
        NO_ROOM
    }

    /**
     * Creates a manager.
     *
     * @param account the account of reserved bytes
     * @param metrics the metrics to update
     * @param nowMillis supplies the current time, in milliseconds
     * @param deferred runs a task after the current one
     */
    public MemoryManager(
            MemoryAccount account,
            MemoryMetrics metrics,
            LongSupplier nowMillis,
            Consumer<Runnable> deferred) {
        this.account = account;
        this.metrics = metrics;
        this.nowMillis = nowMillis;
        this.deferred = deferred;
        account.setLevelListener(this::levelChanged);
    }

    /**
     * Sets the source of unread answers.
     *
     * @param answers lists the exchanges with unread answers
     */
    public void unreadAnswers(Supplier<List<ServerExchange>> answers) {
        unread = answers;
    }

    /**
     * Returns the account of reserved bytes.
     *
     * @return the account
     */
    public MemoryAccount account() {
        return account;
    }

    /**
     * Checks whether there is memory for a request, and counts it as refused if not.
     *
     * @param bytes the announced size of its body, in bytes
     * @return false if the request must be refused before it runs
     */
    public boolean hasCapacity(long bytes) {
        boolean capacity = account.hasCapacity(bytes);
        if (!capacity) {
            metrics.requestRefused();
        }
        return capacity;
    }

    /** Counts a request that was refused while its body was being read. */
    public void countRefusedWhileReading() {
        metrics.requestRefused();
    }

    /**
     * Returns how much of one answer may be buffered before it is relayed as it arrives, and how
     * much of an event before its attempt fails.
     *
     * @return the bound in bytes
     */
    public long maxBufferedAnswerBytes() {
        long bound = account.budget().answerBytes();
        return switch (account.level()) {
            case CALM -> bound;
            case PRESSED -> bound / PRESSED_DIVISOR;
            case FULL -> bound / FULL_DIVISOR;
        };
    }

    /**
     * Ends unread answers if memory runs short; to be called every {@link #CHECK_INTERVAL_MILLIS}.
     */
    public void tick() {
        if (account.level() == MemoryLevel.FULL) {
            freeMemory();
        } else if (account.level() == MemoryLevel.PRESSED) {
            cutStalled();
        }
    }

    /**
     * Records the current state in the metrics.
     *
     * @param refusedConnections number of connections closed unread since the start
     */
    public void recordState(long refusedConnections) {
        metrics.state(account, refusedConnections);
    }

    @Override
    public void overBound(ServerExchange exchange) {
        if (!exchange.answerOwner().resumable() || exchange.isCut()) {
            return;
        }
        boolean stalled = exchange.unreadMillis(nowMillis.getAsLong()) >= STALL_TIMEOUT_MILLIS;
        if (stalled || account.level() != MemoryLevel.CALM) {
            deferred.accept(() -> cutIfUnread(exchange));
        }
    }

    /**
     * Ends an answer whose next piece does not fit into the budget, and has memory freed before
     * more is read, so that as few answers as possible end in the order in which they arrive.
     */
    @Override
    public void noRoom(ServerExchange exchange) {
        cut(exchange, CutReason.NO_ROOM);
        tickSoon();
    }

    @Override
    public void idle(ServerExchange exchange, long idleMillis) {
        cut(exchange, CutReason.NOT_READ);
    }

    /**
     * Ends an answer. If it was ended before but its bytes are still reserved, it is closed at
     * once.
     *
     * @param exchange the exchange of the answer
     * @param reason why it is ended
     */
    public void cut(ServerExchange exchange, CutReason reason) {
        if (!exchange.isCut()) {
            metrics.answerCut(reason);
            DecisionLog.write(
                    new AnswerCut(
                            exchange.answerOwner().id(),
                            exchange.answerOwner().organisation(),
                            reason.name(),
                            exchange.unreadBytes(),
                            exchange.unreadMillis(nowMillis.getAsLong()),
                            account.level().name(),
                            account.total()));
        }
        exchange.cut();
    }

    /** Ends an answer unless its caller has read all of it since the decision. */
    private void cutIfUnread(ServerExchange exchange) {
        if (exchange.unreadBytes() > 0 && !exchange.isCut()) {
            cut(exchange, CutReason.OVER_BOUND);
        }
    }

    private void freeMemory() {
        List<ServerExchange> exchanges = unread.get();
        List<WaitingAnswer> waiting = new ArrayList<>(exchanges.size());
        for (ServerExchange exchange : exchanges) {
            waiting.add(
                    new WaitingAnswer(
                            waiting.size(),
                            exchange.answerOwner().organisation(),
                            exchange.unreadBytes(),
                            exchange.answerOwner().resumable()));
        }
        long needed = account.total() - account.budget().fullUntil();
        for (WaitingAnswer chosen : AnswerChoice.answersToEnd(waiting, needed)) {
            cut(exchanges.get(chosen.key()), CutReason.NO_ROOM);
        }
    }

    private void cutStalled() {
        long now = nowMillis.getAsLong();
        for (ServerExchange exchange : unread.get()) {
            boolean overBound = exchange.unreadBytes() > account.budget().answerBytes();
            if (overBound && exchange.unreadMillis(now) >= STALL_TIMEOUT_MILLIS) {
                cut(exchange, CutReason.OVER_BOUND);
            }
        }
    }

    private void levelChanged(MemoryLevel before, MemoryLevel now) {
        DecisionLog.write(
                new Lifecycle(
                        "memory",
                        now.name().toLowerCase(Locale.ROOT),
                        "held "
                                + account.total()
                                + " of "
                                + account.budget().bytes()
                                + " bytes: requests "
                                + account.reserved(ReservationKind.REQUESTS)
                                + ", answers parsed "
                                + account.reserved(ReservationKind.ANSWERS_PARSED)
                                + ", answers waiting "
                                + account.reserved(ReservationKind.ANSWERS_WAITING)
                                + "; was "
                                + before.name().toLowerCase(Locale.ROOT)));
        if (now == MemoryLevel.FULL) {
            tickSoon();
        }
    }

    private void tickSoon() {
        if (tickPending) {
            return;
        }
        tickPending = true;
        deferred.accept(
                () -> {
                    tickPending = false;
                    tick();
                });
    }
}
