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
import io.trailladder.core.memory.ReservationKind;
import io.trailladder.core.memory.MemoryAccount;
import io.trailladder.core.memory.MemoryLevel;
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
 * Keeps the process inside its memory: it tells whether requests may be taken in, and ends answers
 * that are not read when there is no room. Calls of the process itself, which keep it alive, never
 * ask it.
 *
 * @since 0.2
 */
public final class MemoryManager implements UnreadAnswers {
    /** How often room is made while the process is pressed, in milliseconds. */
    public static final long CHECK_INTERVAL_MILLIS = 250;

    /**
     * An answer above its bound whose caller took nothing for this long, in milliseconds, is ended:
     * a stream that can be resumed at any level, another in a pressed process. One that reads on is
     * delivered, however large, while there is memory; a pressed process ends such streams as well.
     */
    private static final long STALL_TIMEOUT_MILLIS = 1_000;

    /** Part of the usual bound that is held back of an answer in a pressed process. */
    private static final int PRESSED_DIVISOR = 4;

    private final MemoryAccount account;
    private final MemoryMetrics metrics;
    private final LongSupplier nowMillis;
    private final Consumer<Runnable> deferred;
    private Supplier<List<ServerExchange>> unread = List::of;

    /** Why an answer was ended before its caller had all of it. */
    public enum CutReason {
        /** Its caller read nothing for the idle limit of the policy. */
        NOT_READ,
        /** More of it was held than the bound of one answer. */
        OVER_BOUND,
        /** The process was full, and it was the one chosen. */
        NO_ROOM,
        /** One event of it was larger than the bound of one answer. */
        EVENT_TOO_LARGE
    }

    /**
     * Creates a keeper.
     *
     * @param account what is held
     * @param metrics the figures
     * @param nowMillis the time, in milliseconds
     * @param later runs a task after what is being done now
     */
    public MemoryManager(
            MemoryAccount account,
            MemoryMetrics metrics,
            LongSupplier nowMillis,
            Consumer<Runnable> later) {
        this.account = account;
        this.metrics = metrics;
        this.nowMillis = nowMillis;
        this.deferred = later;
        account.setLevelListener(this::levelChanged);
    }

    /**
     * Sets where answers that are not read are found.
     *
     * @param answers lists them
     */
    public void unreadAnswers(Supplier<List<ServerExchange>> answers) {
        unread = answers;
    }

    /**
     * Returns what is held.
     *
     * @return the account
     */
    public MemoryAccount account() {
        return account;
    }

    /**
     * Tells whether a request may be taken in, and counts it if not.
     *
     * @param bytes what it announces
     * @return false if it is to be refused, before it has run
     */
    public boolean hasCapacity(long bytes) {
        boolean room = account.hasCapacity(bytes);
        if (!room) {
            metrics.requestRefused();
        }
        return room;
    }

    /** Counts a request that was refused while its body was read. */
    public void countRefusedWhileReading() {
        metrics.requestRefused();
    }

    /**
     * Returns how much of one answer may be held back before it is passed on as it comes.
     *
     * @return bytes
     */
    public long maxBufferedAnswerBytes() {
        long bound = account.budget().answerBytes();
        return account.level() == MemoryLevel.CALM ? bound : bound / PRESSED_DIVISOR;
    }

    /** Makes room if the process needs it; to be called again and again. */
    public void tick() {
        if (account.level() == MemoryLevel.FULL) {
            freeMemory();
        } else if (account.level() == MemoryLevel.PRESSED) {
            cutStalled();
        }
    }

    /**
     * Records what is held.
     *
     * @param refusedConnections connections closed unread since the start
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

    @Override
    public void idle(ServerExchange exchange, long idleMillis) {
        cut(exchange, CutReason.NOT_READ);
    }

    /**
     * Ends an answer; one that was ended already, but is still held, is closed at once.
     *
     * @param exchange its request
     * @param reason why
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

    /** Between the decision and now its caller may have read all of it. */
    private void cutIfUnread(ServerExchange exchange) {
        if (exchange.unreadBytes() > 0 && !exchange.isCut()) {
            cut(exchange, CutReason.OVER_BOUND);
        }
    }

    private void freeMemory() {
        List<ServerExchange> held = unread.get();
        List<WaitingAnswer> waiting = new ArrayList<>(held.size());
        for (ServerExchange exchange : held) {
            waiting.add(
                    new WaitingAnswer(
                            waiting.size(),
                            exchange.answerOwner().organisation(),
                            exchange.unreadBytes(),
                            exchange.answerOwner().resumable()));
        }
        long needed = account.total() - account.budget().fullUntil();
        for (WaitingAnswer chosen : AnswerChoice.answersToEnd(waiting, needed)) {
            cut(held.get(chosen.key()), CutReason.NO_ROOM);
        }
    }

    private void cutStalled() {
        long now = nowMillis.getAsLong();
        for (ServerExchange exchange : unread.get()) {
            boolean above = exchange.unreadBytes() > account.budget().answerBytes();
            if (above && exchange.unreadMillis(now) >= STALL_TIMEOUT_MILLIS) {
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
            deferred.accept(this::tick);
        }
    }
}
