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
package io.trailladder.entry.serve;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.request.AnswerLog;
import io.trailladder.core.request.Failure;
import io.trailladder.core.request.GenerationAction;
import io.trailladder.core.request.GenerationAction.Cancel;
import io.trailladder.core.request.GenerationAction.Complete;
import io.trailladder.core.request.GenerationAction.Dispatch;
import io.trailladder.core.request.GenerationAction.Emit;
import io.trailladder.core.request.GenerationAction.Export;
import io.trailladder.core.request.GenerationAction.Fail;
import io.trailladder.core.request.GenerationAction.Place;
import io.trailladder.core.request.GenerationAction.WakeAt;
import io.trailladder.core.request.GenerationMachine;
import io.trailladder.core.routing.PromptBlocks;
import io.trailladder.core.routing.RoutingQuery;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.entry.EntryMetrics.Event;
import io.trailladder.entry.MonotonicClock;
import io.trailladder.wire.RequestRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Runs one accepted model request: carries out what its {@link GenerationMachine} decides, and
 * brings the answer to whoever asks for it.
 *
 * @since 0.1
 */
public final class GenerationRunner implements Placements.PendingRequest {
    private static final long EXPORT_TIMEOUT_MILLIS = 500;
    private static final int EXPECTED_TOKEN_MILLIS = 25;
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final String KIND = "model";

    private final ServingContext context;
    private final RequestRecord request;
    private final Row row;
    private final AnswerLog log;
    private final GenerationMachine machine;
    private final PromptBlocks blocks;
    private final Consumer<GenerationRunner> onEnd;
    private final long startedMillis = MonotonicClock.millis();
    private final List<AnswerFeed> feeds = new ArrayList<>();
    private volatile RoutingQuery query;
    private volatile boolean answerStarted;
    private EngineApi.RunningAttempt runningAttempt;
    private LocalUpstream currentUpstream;
    private LocalUpstream reservedUpstream;
    private long wakeAtMillis;
    private long lastTokenMillis;
    private long lateFramesCounted;
    private int lastEvent = -1;
    private Failure failure;
    private boolean movedAway;
    private boolean receiversRedirected;

    /**
     * Creates the runner of an accepted request.
     *
     * @param context what serving code shares
     * @param request the request, with the tokens it has so far
     * @param row the row that allows it
     * @param onEnd called once the request has had its final answer
     */
    public GenerationRunner(
            ServingContext context,
            RequestRecord request,
            Row row,
            Consumer<GenerationRunner> onEnd) {
        this.context = context;
        this.request = request;
        this.row = row;
        this.onEnd = onEnd;
        this.log = new AnswerLog(request.tokens(), request.complete());
        this.answerStarted = log.size() > 0;
        this.blocks = PromptBlocks.of(request.organisation(), request.model(), request.prompt());
        this.query = query(Set.of());
        GenerationMachine.Settings settings =
                new GenerationMachine.Settings(
                        request.maxTokens(),
                        context.settings().limits().queueMillis(row.latencyTargetMillis()),
                        context.settings().limits().queueTimeoutMillis(),
                        EXPECTED_TOKEN_MILLIS,
                        EXPORT_TIMEOUT_MILLIS,
                        row.repeatable());
        this.machine =
                new GenerationMachine(
                        settings,
                        context.policies().budget(request.organisation()),
                        log,
                        startedMillis);
    }

    /** Begins. */
    public synchronized void start() {
        if (!movedAway) {
            perform(machine.start());
        }
    }

    /** Begins where another entry left off; an answer that is whole needs nothing more. */
    public synchronized void resume() {
        if (log.isComplete()) {
            onEnd.accept(this);
        } else {
            perform(machine.resume());
        }
    }

    /**
     * Tells whether the request may run again where it may have run before.
     *
     * @return false if it runs at most once
     */
    public boolean isRepeatable() {
        return row.repeatable();
    }

    /**
     * Returns the request as it was accepted.
     *
     * @return the request
     */
    public RequestRecord request() {
        return request;
    }

    /**
     * Returns the request with its tokens so far.
     *
     * @return what another entry needs to go on with it
     */
    public synchronized RequestRecord record() {
        return request.with(log.from(0), log.isComplete());
    }

    /**
     * Returns the tokens from a position on.
     *
     * @param from the position
     * @return the tokens
     */
    public synchronized List<String> tokensFrom(int from) {
        return log.from(from);
    }

    /**
     * Tells whether the answer is whole.
     *
     * @return true if so
     */
    public synchronized boolean isComplete() {
        return log.isComplete();
    }

    /**
     * Tells whether the request has had its final answer.
     *
     * @return true if so
     */
    public synchronized boolean isEnded() {
        return machine.isEnded();
    }

    /**
     * Tells whether the request was given up because nobody wanted its answer.
     *
     * @return true if it has neither its whole answer nor a failure, and nothing makes more of it
     */
    public synchronized boolean isAbandoned() {
        return machine.isEnded() && !log.isComplete() && failure == null && !movedAway;
    }

    /**
     * Tells whether another entry goes on with the request.
     *
     * @return true after {@link #suspend}
     */
    public synchronized boolean isMovedAway() {
        return movedAway;
    }

    /**
     * Brings the answer to a receiver.
     *
     * @param sink the receiver
     * @param from the first token it wants
     */
    public synchronized void attach(CallerSink sink, int from) {
        AnswerFeed feed = new AnswerFeed(request, sink, context.self().dataCentre(), from);
        feeds.add(feed);
        sink.whenDisconnected(() -> receiverDisconnected(feed));
        if (failure != null) {
            feed.fail(request.requestId(), failure);
        } else if (receiversRedirected) {
            feed.redirect(request.requestId());
        } else {
            pump(feed);
        }
    }

    /**
     * Tells whether the request is running, or about to run, at an upstream.
     *
     * @param upstream the upstream's name
     * @return true if its leaving concerns this request
     */
    public synchronized boolean runsAt(String upstream) {
        return machine.upstream().equals(upstream) || machine.isMoveTarget(upstream);
    }

    /**
     * Is told that an upstream is leaving.
     *
     * @param upstream the upstream's name
     * @param noticeMillis how long it will still run, in milliseconds
     */
    public synchronized void upstreamLeaving(String upstream, long noticeMillis) {
        List<GenerationAction> actions =
                machine.leaving(upstream, noticeMillis, MonotonicClock.millis());
        if (!actions.isEmpty()) {
            context.metrics().count(Event.RECLAIM_MOVED);
        }
        perform(actions);
    }

    /** Ends the request if the table no longer allows it here. */
    public synchronized void recheckRow() {
        RowKey key = new RowKey(request.organisation(), request.model());
        Optional<Row> present = context.policies().table().row(key);
        boolean allowed = present.map(r -> r.allows(context.self().dataCentre())).orElse(false);
        if (!allowed) {
            perform(machine.abort(Failure.Kind.ROW_NARROWED, RETRY_AFTER_MILLIS));
        }
    }

    /**
     * Returns the last event that any receiver of this entry was sent.
     *
     * @return its position; below 0 if none was sent any
     */
    public synchronized int lastEvent() {
        return lastEvent;
    }

    /**
     * Stops working on the request. Receivers are told nothing before {@link #redirectReceivers}.
     *
     * @return the request with its tokens so far, all that any receiver was sent among them
     */
    public synchronized RequestRecord suspend() {
        movedAway = true;
        context.placements().withdraw(this);
        perform(machine.cancelled());
        releaseUnused();
        return record();
    }

    /** Sends every receiver to the entries that have the request now. */
    public synchronized void redirectReceivers() {
        receiversRedirected = true;
        feeds.forEach(feed -> feed.redirect(request.requestId()));
    }

    /** Gives the receivers a final answer because this entry is about to end. */
    public synchronized void endUnfinished() {
        perform(machine.abort(Failure.Kind.STOPPING, RETRY_AFTER_MILLIS));
    }

    @Override
    public RoutingQuery query() {
        return query;
    }

    @Override
    public String organisation() {
        return request.organisation();
    }

    @Override
    public int weight() {
        return row.weight();
    }

    @Override
    public boolean answerStarted() {
        return answerStarted;
    }

    @Override
    public synchronized void placed(LocalUpstream upstream) {
        if (reservedUpstream != null && machine.isMoveTarget(reservedUpstream.id())) {
            // placed twice: once from the queue and once at once; the first one counts
            context.placements().release(upstream.id());
            return;
        }
        reserve(upstream);
        perform(machine.placed(upstream.id(), MonotonicClock.millis()));
        releaseUnused();
    }

    private void perform(List<GenerationAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(GenerationAction action) {
        if (action instanceof Place place) {
            place(place);
        } else if (action instanceof Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof Cancel) {
            stopRunning();
        } else if (action instanceof Export export) {
            export(export);
        } else if (action instanceof Emit) {
            tokenEmitted();
        } else if (action instanceof WakeAt wake) {
            wakeAt(wake.atMillis());
        } else if (action instanceof Complete) {
            context.placements().attemptEnded(currentUpstream.id(), true);
            end("whole");
        } else if (action instanceof Fail fail) {
            fail(fail.failure());
        }
    }

    private void place(Place place) {
        query = query(place.excluded());
        Optional<LocalUpstream> upstream = context.placements().request(this);
        if (upstream.isPresent()) {
            placed(upstream.get());
        } else {
            perform(machine.notPlaced(RETRY_AFTER_MILLIS, MonotonicClock.millis()));
        }
    }

    private void dispatch(Dispatch dispatch) {
        if (dispatch.attempt() == 1) {
            long waited = MonotonicClock.millis() - startedMillis;
            context.metrics().queued(request.organisation(), KIND, waited);
        } else {
            boolean imported = !dispatch.kvHandle().isEmpty();
            int tokens = blocks.tokens() + dispatch.resumeFrom();
            context.metrics().resumed(imported, tokens);
        }
        currentUpstream = reservedUpstream;
        reservedUpstream = null;
        EngineApi.Attempt attempt =
                new EngineApi.Attempt(
                        request.requestId(),
                        dispatch.attempt(),
                        request.organisation(),
                        request.model(),
                        request.prompt(),
                        request.maxTokens(),
                        log.from(0),
                        dispatch.kvHandle(),
                        row.weight());
        Logger.debug(
                "request {} attempt {} goes to {}",
                request.requestId(),
                dispatch.attempt(),
                currentUpstream.id());
        runningAttempt = context.engines().generate(currentUpstream, attempt, new AttemptListener(dispatch));
    }

    private void export(Export export) {
        context.engines()
                .export(currentUpstream, request.requestId(), export.attempt(), EXPORT_TIMEOUT_MILLIS)
                .handle((handle, failed) -> failed == null ? handle : "")
                .thenAccept(handle -> exported(export.attempt(), handle));
    }

    private synchronized void exported(int attempt, String handle) {
        perform(machine.exported(attempt, handle));
        releaseUnused();
    }

    private void tokenEmitted() {
        answerStarted = true;
        long now = MonotonicClock.millis();
        if (log.size() == 1) {
            context.metrics().firstToken(request.organisation(), now - startedMillis);
        } else if (lastTokenMillis > 0) {
            context.metrics().betweenTokens(request.organisation(), now - lastTokenMillis);
        }
        lastTokenMillis = now;
        feeds.forEach(this::pump);
    }

    private void pump(AnswerFeed feed) {
        if (!feed.pump(log)) {
            feed.sink().whenWritable(() -> pumpWhenWritable(feed));
        }
        lastEvent = Math.max(lastEvent, feed.lastEvent());
    }

    private synchronized void pumpWhenWritable(AnswerFeed feed) {
        pump(feed);
    }

    private synchronized void receiverDisconnected(AnswerFeed feed) {
        feeds.remove(feed);
        if (feeds.isEmpty() && !machine.isEnded()) {
            long grace = context.settings().limits().reattachMillis();
            context.timer().schedule(this::cancelIfNoReceiver, grace, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void cancelIfNoReceiver() {
        boolean alone = feeds.stream().allMatch(AnswerFeed::isEnded);
        if (alone && !machine.isEnded()) {
            perform(machine.cancelled());
            end("caller-gone");
        }
    }

    private void fail(Failure reason) {
        failure = reason;
        context.placements().withdraw(this);
        feeds.forEach(feed -> feed.fail(request.requestId(), reason));
        end(reason.outcome().headerValue());
    }

    private void end(String outcome) {
        runningAttempt = null;
        context.placements().withdraw(this);
        releaseCurrent();
        releaseUnused();
        feeds.forEach(this::pump);
        long took = MonotonicClock.millis() - startedMillis;
        context.metrics().ended(request.organisation(), KIND, outcome, took);
        onEnd.accept(this);
    }

    private void wakeAt(long atMillis) {
        wakeAtMillis = atMillis;
        long delay = Math.max(1, atMillis - MonotonicClock.millis());
        context.timer().schedule(() -> wake(atMillis), delay, TimeUnit.MILLISECONDS);
    }

    private synchronized void wake(long atMillis) {
        if (atMillis == wakeAtMillis && !machine.isEnded()) {
            perform(machine.tick(MonotonicClock.millis()));
        }
    }

    private void stopRunning() {
        if (runningAttempt != null) {
            runningAttempt.cancel();
            runningAttempt = null;
        }
        releaseCurrent();
    }

    private void reserve(LocalUpstream upstream) {
        releaseUnused();
        reservedUpstream = upstream;
    }

    private void releaseUnused() {
        boolean wanted = machine.isMoveTarget(reservedUpstream == null ? "" : reservedUpstream.id());
        if (reservedUpstream != null && !wanted) {
            context.placements().release(reservedUpstream.id());
            reservedUpstream = null;
        }
    }

    private void releaseCurrent() {
        if (currentUpstream != null) {
            context.placements().release(currentUpstream.id());
            currentUpstream = null;
        }
    }

    private RoutingQuery query(Set<String> excluded) {
        return new RoutingQuery(request.model(), blocks, request.maxTokens(), excluded);
    }

    /** Passes one attempt's answer to the machine. */
    private final class AttemptListener implements EngineApi.Listener {
        private final Dispatch dispatch;
        private final LocalUpstream upstream = currentUpstream;

        AttemptListener(Dispatch dispatch) {
            this.dispatch = dispatch;
        }

        @Override
        public void token(String requestId, int attempt, int position, String text) {
            synchronized (GenerationRunner.this) {
                if (matchesAttempt(requestId, attempt)) {
                    long now = MonotonicClock.millis();
                    perform(machine.token(dispatch.attempt(), position, text, now));
                    countLateFrames();
                }
            }
        }

        @Override
        public void ended(String requestId, int attempt, int tokens) {
            synchronized (GenerationRunner.this) {
                if (matchesAttempt(requestId, attempt)) {
                    long now = MonotonicClock.millis();
                    perform(machine.ended(dispatch.attempt(), tokens, now));
                    countLateFrames();
                }
            }
        }

        @Override
        public void failed(boolean sent, boolean garbage) {
            synchronized (GenerationRunner.this) {
                List<GenerationAction> actions =
                        machine.attemptFailed(dispatch.attempt(), sent, MonotonicClock.millis());
                if (!actions.isEmpty()) {
                    context.placements().attemptEnded(upstream.id(), false);
                    context.metrics().count(Event.RETRY);
                }
                perform(actions);
            }
        }

        private boolean matchesAttempt(String requestId, int attempt) {
            boolean ours = requestId.equals(request.requestId()) && attempt == dispatch.attempt();
            if (!ours) {
                context.metrics().count(Event.CROSSED_FRAME);
            }
            return ours;
        }

        private void countLateFrames() {
            for (; lateFramesCounted < machine.droppedFrames(); lateFramesCounted++) {
                context.metrics().count(Event.LATE_FRAME);
            }
        }
    }
}
