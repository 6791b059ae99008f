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

import io.trailladder.core.crash.RequestFingerprint;
import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.pipeline.Ending;
import io.trailladder.core.pipeline.Recovery;
import io.trailladder.core.pipeline.Recovery.GiveUp;
import io.trailladder.core.pipeline.RecoveryPolicy;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.upstream.Crossing;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.AttemptFailed;
import io.trailladder.entry.gateway.DecisionLog.Dispatch;
import io.trailladder.entry.gateway.DecisionLog.Ended;
import io.trailladder.entry.http.AnswerOwner;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.LoopTimer;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Brings one accepted request to its end: sends it to upstreams, passes the answer on, and does
 * what {@link RecoveryPolicy} decides when an attempt fails.
 */
final class RequestDriver implements Attempt.Owner {
    private static final int FAILURES = 300;
    private static final int SERVER_ERRORS = 500;
    private static final byte[] NO_BYTES = {};

    private final ServingContext context;
    private final ServerExchange exchange;
    private final ServingRequest request;
    private final CrashGuard crashes;
    private final int units;
    private final Consumer<RequestDriver> onEnd;
    private final AttemptHistory history = new AttemptHistory();
    private final LoopTimer deadline;
    private final AttemptCalls calls;
    private final AnswerPassing answer;
    private final SilenceWatch silence;
    private final BodyRoom bodyRoom;
    private Attempt attempt;
    private boolean started;
    private boolean over;
    private long firstMillis = -1;

    RequestDriver(
            ServingContext context,
            ServerExchange exchange,
            ServingRequest request,
            RequestIdentity identity,
            int units,
            String lastEventId,
            Consumer<RequestDriver> onEnd) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.crashes = new CrashGuard(context, request.id(), identity);
        this.units = units;
        this.onEnd = onEnd;
        if (!lastEventId.isEmpty()) {
            history.eventPassed(lastEventId);
        }
        this.calls = new AttemptCalls(context, exchange, request);
        this.answer =
                new AnswerPassing(context.memory(), exchange, history, isStream(), this::firstByte);
        boolean resumable = isStream() && request.route().repeatable();
        exchange.answerOwner(new AnswerOwner(request.id(), request.organisation(), resumable));
        this.silence = new SilenceWatch(context, request, history);
        this.bodyRoom = new BodyRoom(context, request);
        exchange.onGone(this::callerGone);
        long left = request.deadlineMillis() - context.loop().nowMillis();
        this.deadline = context.loop().schedule(left, this::timeOver);
    }

    void start() {
        long now = context.loop().nowMillis();
        context.budgets().requested(request.service(), now);
        context.availability().asked(request.service(), request.priority(), now);
        nextAttempt();
    }

    /** Tells whether the request runs at an upstream now. */
    boolean runsAt(String upstream) {
        return attempt != null && attempt.upstream().id().equals(upstream);
    }

    /** Returns how long the upstream has been silent, in milliseconds. */
    long silentMillis() {
        return attempt == null ? 0 : attempt.silentMillis();
    }

    boolean isStream() {
        return request.route().kind() == RouteKind.STREAMING;
    }

    /**
     * Goes on at another upstream if the request may. It stays at one that leaves while no other
     * takes requests: the notice leaves it time, and to move would end it for certain.
     */
    void moveAway(AttemptFailure reason) {
        if (attempt == null || (attempt.isSent() && !request.route().repeatable())) {
            return;
        }
        long now = context.loop().nowMillis();
        boolean leaves = reason == AttemptFailure.LEAVING;
        if (!leaves || context.availability().isAnyTaking(request.service(), now)) {
            attempt.fail(reason);
        }
    }

    /** Breaks the request off because the process ends. */
    void stop() {
        if (over) {
            return;
        }
        Ending ending = RecoveryPolicy.endingOf(history, isUnderWay());
        cancelAttempt();
        giveUp(ending);
    }

    /**
     * Ends the request if it is one that ends upstreams: the upstream that has it may not have
     * begun to run it, and lives on if it is taken back.
     *
     * @param found the request that was found to end upstreams
     */
    void stopIf(RequestFingerprint found) {
        if (!over && crashes.stopIfSame(found)) {
            stop();
        }
    }

    @Override
    public void sending(Attempt sender) {
        history.sent(sender.upstream().id());
        if (request.prompt().tokensIn() == 0) {
            startedRunning();
        }
    }

    @Override
    public void answered(Attempt sender, int status, HeaderList headers, long length) {
        answer.head(status, headers);
    }

    @Override
    public void body(Attempt sender, byte[] bytes) {
        int events = answer.body(bytes);
        if (events > 0) {
            sender.events(events);
            startedRunning();
        }
    }

    @Override
    public void ended(Attempt sender) {
        if (answer.status() >= SERVER_ERRORS && !history.hasAnswerBegun()) {
            attemptFailed(sender, AttemptFailure.SERVER_ERROR);
            return;
        }
        attempt = null;
        context.metrics().attempt(request.service(), "whole");
        if (answer.status() < FAILURES) {
            crashes.ranToCompletion();
        }
        answer.end();
        end("whole", answer.status(), sender);
    }

    @Override
    public void failed(Attempt sender, AttemptFailure failure) {
        attemptFailed(sender, failure);
    }

    private void nextAttempt() {
        long now = context.loop().nowMillis();
        Optional<Selection> choice = bodyRoom.choose(history.tried(), now);
        if (choice.isEmpty() && request.route().repeatable() && !history.tried().isEmpty()) {
            choice = bodyRoom.choose(Set.of(), now);
        }
        long held = choice.isEmpty() ? context.rollouts().heldMillis(request.service()) : 0;
        if (held > 0) {
            context.loop().schedule(held, this::goOn);
        } else if (choice.isEmpty()) {
            turnAwayWithoutChoice(now);
        } else if (!history.hasAnswerBegun()
                && choice.get().placeMillis() > request.deadlineMillis() - now) {
            turnAway(TurnedAway.NO_PLACE_IN_TIME, choice.get().placeMillis());
        } else {
            send(choice.get(), now);
        }
    }

    private void turnAwayWithoutChoice(long now) {
        long none =
                context.availability().noneTakesMillis(request.service(), request.priority(), now);
        if (none > 0) {
            turnAway(TurnedAway.NONE_TAKES, none);
        } else {
            turnAway(bodyRoom.wasShort() ? TurnedAway.NO_BODY_ROOM : TurnedAway.NO_UPSTREAM, 0);
        }
    }

    /** Tries again after a roll-out has had it wait. */
    private void goOn() {
        if (over) {
            return;
        }
        if (crashes.refusesRetry()) {
            giveUp(RecoveryPolicy.endingOf(history, false));
        } else {
            nextAttempt();
        }
    }

    /** Ends the request at once because what it waits for does not come in time. */
    private void turnAway(String reason, long placeMillis) {
        long left = request.deadlineMillis() - context.loop().nowMillis();
        DecisionLog.write(new TurnedAway(request.id(), reason, placeMillis, left));
        giveUp(RecoveryPolicy.endingOf(history, false));
    }

    private void send(Selection selection, long now) {
        Upstream upstream = selection.upstream();
        DecisionLog.write(
                new Dispatch(
                        request.id(),
                        history.sent() + 1,
                        upstream.id(),
                        Math.round(selection.predictedMillis()),
                        selection.costs(),
                        selection.requests(),
                        selection.waitingTokens(),
                        selection.cachedTokens(),
                        selection.candidates(),
                        context.peersAgeMillis().getAsLong(),
                        history.lastEventId()));
        selection.crossing().ifPresent(this::crosses);
        context.selector().sent(request, upstream.id());
        answer.newAttempt();
        attempt = new Attempt(context, request, selection, this);
        silence.watch(attempt, selection);
        attempt.start(calls.to(upstream, history.lastEventId(), now));
    }

    private void crosses(Crossing crossing) {
        context.metrics().count(GatewayMetrics.Event.SENT_TO_OTHER_REGION);
        DecisionLog.write(
                new SentAcross(
                        request.id(),
                        crossing.region(),
                        crossing.hereMillis(),
                        crossing.thereMillis()));
    }

    private void firstByte() {
        firstMillis = context.loop().nowMillis() - request.acceptedMillis();
        context.metrics().firstAnswer(request.organisation(), request.service(), firstMillis);
    }

    private void startedRunning() {
        if (!started) {
            started = true;
            context.usage().started(request.organisation(), context.clock().millis());
        }
    }

    private void attemptFailed(Attempt sender, AttemptFailure failure) {
        attempt = null;
        silence.stop();
        history.failed(sender.upstream().id(), failure);
        crashes.failed(sender, failure);
        context.metrics().attempt(request.service(), failure.name());
        long now = context.loop().nowMillis();
        Recovery recovery = RecoveryPolicy.after(request, history, failure, true, now);
        if (!(recovery instanceof GiveUp) && crashes.refusesRetry()) {
            recovery = RecoveryPolicy.after(request, history, failure, false, now);
        }
        boolean neverArrived =
                failure == AttemptFailure.UNREACHABLE || failure == AttemptFailure.NOT_SENT;
        boolean paid = silence.takePaid() || neverArrived;
        if (!(recovery instanceof GiveUp)
                && !paid
                && !context.budgets().tryRetry(request.service(), now)) {
            context.metrics().count(GatewayMetrics.Event.RETRY_BUDGET_EMPTY);
            recovery = RecoveryPolicy.after(request, history, failure, false, now);
        }
        DecisionLog.write(
                new AttemptFailed(
                        request.id(),
                        sender.upstream().id(),
                        failure.name(),
                        sender.status(),
                        sender.ageMillis(),
                        recovery.toString()));
        if (recovery instanceof GiveUp giveUp) {
            giveUp(giveUp.ending(), sender);
        } else {
            nextAttempt();
        }
    }

    private void giveUp(Ending ending) {
        giveUp(ending, null);
    }

    private void giveUp(Ending ending, Attempt last) {
        if (ending == Ending.NOT_RUN) {
            context.quotas().giveBack(request.organisation(), units);
        }
        switch (ending) {
            case PASSED_ON -> answer.respondWhole();
            case BROKEN_OFF -> exchange.abort();
            default ->
                    exchange.respond(
                            ending.status(),
                            context.protocol().refusal(retryAfterMillis(ending)),
                            NO_BYTES);
        }
        int status = ending == Ending.PASSED_ON ? answer.status() : ending.status();
        end(ending.name(), status, last);
    }

    private long retryAfterMillis(Ending ending) {
        return ending == Ending.NOT_RUN && !crashes.hasStopped()
                ? context.returns().place(request, context.loop().nowMillis())
                : 0;
    }

    private void timeOver() {
        if (over) {
            return;
        }
        Ending ending = RecoveryPolicy.endingInTime(history, isUnderWay());
        Attempt last = attempt;
        if (isUnderWay()) {
            context.loads().failed(attempt.upstream().id(), context.loop().nowMillis());
            crashes.failed(attempt, AttemptFailure.SILENT);
        }
        cancelAttempt();
        giveUp(ending, last);
    }

    private boolean isUnderWay() {
        return attempt != null && attempt.isSent();
    }

    private void callerGone() {
        if (!over) {
            Attempt last = attempt;
            cancelAttempt();
            end(exchange.isCut() ? "answer-cut" : "caller-gone", 0, last);
        }
    }

    private void cancelAttempt() {
        if (attempt != null) {
            crashes.attemptAbandoned(attempt);
            attempt.cancel();
            attempt = null;
        }
    }

    private void end(String outcome, int status, Attempt last) {
        over = true;
        answer.close();
        silence.stop();
        deadline.cancel();
        long took = context.loop().nowMillis() - request.acceptedMillis();
        context.metrics().ended(request.organisation(), request.service(), outcome, took);
        String upstream = last == null ? "" : last.upstream().id();
        DecisionLog.write(
                new Ended(
                        request.id(),
                        outcome,
                        status,
                        upstream,
                        history.sent(),
                        took,
                        firstMillis));
        onEnd.accept(this);
    }
}
