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

import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.pipeline.AttemptHistory;
import io.trailladder.core.pipeline.Ending;
import io.trailladder.core.pipeline.Recovery;
import io.trailladder.core.pipeline.Recovery.GiveUp;
import io.trailladder.core.pipeline.RecoveryPolicy;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.upstream.CrossRegionChoice;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.AttemptFailed;
import io.trailladder.entry.gateway.DecisionLog.Dispatch;
import io.trailladder.entry.gateway.DecisionLog.Ended;
import io.trailladder.entry.http.AnswerOwner;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.entry.port.CallerRequest;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Runs one accepted request until it ends: sends it to upstreams, relays the answer, and carries
 * out what {@link RecoveryPolicy} decides when an attempt fails.
 */
final class RequestDriver implements Attempt.Listener {
    private static final int MIN_FAILURE_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final byte[] EMPTY_BODY = {};

    /** How long a new stream waits at most for the plan that assigns its version. */
    private static final long MAX_PLAN_WAIT_MILLIS = 1_000;

    private static final long PLAN_CHECK_INTERVAL_MILLIS = 20;

    private final ServingContext context;
    private final ServerExchange exchange;
    private final ServingRequest request;
    private final CrashGuard crashes;
    private final int units;
    private final long admittedMillis;
    private final Consumer<RequestDriver> onEnd;
    private final AttemptHistory history = new AttemptHistory();
    private final LoopTimer deadline;
    private final RetryCharge retries;
    private final AttemptCalls calls;
    private final AnswerRelay answer;
    private final AnswerEndCheck answerEnd;
    private final ResponseTimeoutWatch responseTimeout;
    private final BodyCapacitySelector selector;
    private final StreamVersion version;
    private Attempt attempt;
    private boolean runStarted;
    private boolean finished;
    private long firstByteMillis = -1;

    RequestDriver(
            ServingContext context,
            ServerExchange exchange,
            ServingRequest request,
            RequestIdentity identity,
            int units,
            CallerRequest caller,
            Consumer<RequestDriver> onEnd) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.crashes = new CrashGuard(context, request.id(), identity);
        this.units = units;
        this.admittedMillis = context.loop().nowMillis();
        this.onEnd = onEnd;
        if (!caller.lastEventId().isEmpty()) {
            history.eventForwarded(caller.lastEventId());
        }
        this.version = new StreamVersion(context.streams(), request, caller);
        this.retries = new RetryCharge(context.budgets(), request.service());
        this.calls = new AttemptCalls(context, exchange, request);
        this.answer =
                new AnswerRelay(
                        context.memory(),
                        exchange,
                        history,
                        isStream(),
                        new StreamOrder(context.metrics(), context.eventSteps(), request, history),
                        this::firstByte);
        this.answerEnd = new AnswerEndCheck(context, request, answer, this::checkReachable);
        boolean resumable = isStream() && request.route().repeatable();
        exchange.answerOwner(new AnswerOwner(request.id(), request.organisation(), resumable));
        this.responseTimeout =
                new ResponseTimeoutWatch(
                        context,
                        request,
                        history,
                        retries,
                        this::isServedElsewhere,
                        this::checkReachable);
        this.selector = new BodyCapacitySelector(context, request);
        exchange.onDisconnect(this::callerDisconnected);
        long remainingMillis = request.deadlineMillis() - context.loop().nowMillis();
        this.deadline = context.loop().schedule(remainingMillis, this::deadlineReached);
    }

    void start() {
        long now = context.loop().nowMillis();
        context.budgets().requested(request.service(), now);
        context.availability().requestReceived(request.service(), request.priority(), now);
        if (version.isResumedAgainstRoute()) {
            turnAway(TurnedAway.NOT_RESUMABLE, 0);
        } else {
            nextAttempt();
        }
    }

    /** Whether the request is currently at an upstream. */
    boolean isRunningAt(String upstream) {
        return attempt != null && attempt.upstream().id().equals(upstream);
    }

    /**
     * Returns the time since the upstream last sent anything, in milliseconds; 0 without an
     * attempt.
     */
    long unresponsiveMillis() {
        return attempt == null ? 0 : attempt.unresponsiveMillis();
    }

    /** Returns whether a direct connection to an upstream has brought bytes in the last time. */
    boolean hasReceivedDirectly(long millis) {
        return attempt != null
                && attempt.status() > 0
                && !attempt.isRelayed()
                && attempt.unresponsiveMillis() < millis;
    }

    /**
     * Gives up an attempt on a direct connection that has been lost, if the request may run again.
     */
    void leaveLostPath() {
        if (attempt != null && attempt.isSent() && !attempt.isRelayed()) {
            responseTimeout.pathLost();
        }
    }

    boolean isStream() {
        return request.route().kind() == RouteKind.STREAMING;
    }

    /**
     * Moves the request to another upstream if it may be repeated or has not been sent. It stays at
     * an upstream that is leaving while no other takes it, or no retry is left: the notice leaves
     * it time, and moving would end it for certain.
     */
    void moveToOtherUpstream(AttemptFailure reason) {
        boolean repeatable = request.route().repeatable() && history.isResumable();
        if (attempt == null || (attempt.isSent() && !repeatable)) {
            return;
        }
        long now = context.loop().nowMillis();
        boolean leaving = reason == AttemptFailure.LEAVING;
        if (!leaving || canMove(now)) {
            attempt.fail(reason);
        }
    }

    private boolean canMove(long nowMillis) {
        return isServedElsewhere()
                && RecoveryPolicy.allowsAnother(request, history, nowMillis)
                && retries.allowsAnother(nowMillis);
    }

    /**
     * Returns whether another upstream takes the request, if it is bound to a version one of it.
     */
    private boolean isServedElsewhere() {
        long now = context.loop().nowMillis();
        Optional<String> required = version.origin(now).required();
        return context.availability().isAnyAccepting(request.service(), now)
                && (required.isEmpty()
                        ? isBodyTaken(now)
                        : selector.choose(history.tried(), required, now).isPresent());
    }

    /**
     * Returns whether another attempt would find capacity for the body. A body that the present
     * attempt has not yet written takes none, as it is dropped first.
     */
    private boolean isBodyTaken(long nowMillis) {
        return !attempt.isBodyWritten()
                || !selector.mayCapacityBeShort()
                || choose(Optional.empty(), nowMillis).isPresent()
                || !selector.wasCapacityShort();
    }

    /** Chooses an upstream that was not tried; one that was if the request may be repeated. */
    private Optional<Selection> choose(Optional<String> required, long nowMillis) {
        Optional<Selection> choice = selector.choose(history.tried(), required, nowMillis);
        return choice.isEmpty() && request.route().repeatable() && !history.tried().isEmpty()
                ? selector.choose(Set.of(), required, nowMillis)
                : choice;
    }

    /** Ends the request because the process stops. */
    void stop() {
        if (finished) {
            return;
        }
        Ending ending = RecoveryPolicy.endingOf(history);
        cancelAttempt();
        giveUp(ending);
    }

    /**
     * Ends the request if it is found to make upstreams end. Its upstream may not have started to
     * run it, and then survives if the request is cancelled.
     *
     * @param found the whole request or the part of a prompt that makes upstreams end
     */
    void stopIfMatches(RequestTrait found) {
        if (!finished && crashes.stopIfSame(found, attempt)) {
            stop();
        }
    }

    @Override
    public void sending(Attempt sender) {
        history.sent(sender.upstream().id());
        long now = context.loop().nowMillis();
        retries.sent(now);
        context.quotas()
                .sent(request.organisation(), units, history.sent(), now - admittedMillis, now);
        if (request.prompt().tokensIn() == 0) {
            recordRunStarted();
        }
    }

    @Override
    public void answered(Attempt sender, int status, HeaderList headers, long length) {
        if (status >= MIN_FAILURE_STATUS && history.hasAnswerStarted()) {
            sender.fail(AttemptFailure.SERVER_ERROR);
            return;
        }
        answer.head(status, headers, length);
        failIfOutOfOrder(sender);
    }

    private void failIfOutOfOrder(Attempt sender) {
        if (answer.isOutOfOrder()) {
            sender.fail(AttemptFailure.BROKEN);
        }
    }

    @Override
    public void body(Attempt sender, byte[] bytes) {
        int events = answer.body(bytes, () -> tellOfStream(sender));
        if (finished) {
            return; // there was no room for what the caller has not read
        }
        if (events > 0) {
            sender.eventsReceived(events);
            crashes.answering(sender);
            recordRunStarted();
        } else if (answer.progressesByBytes()) {
            sender.progressed();
        }
        failIfOutOfOrder(sender);
        answer.excess().ifPresent(sender::failWithoutProgress);
    }

    /** Tells others of the stream before its caller can resume it. */
    private void tellOfStream(Attempt sender) {
        version.eventReceived(
                sender.upstream(), context.streamTelling(), context.loop().nowMillis());
    }

    @Override
    public void answerEnded(Attempt sender, boolean framed) {
        answerEnd.answerEnded(sender, framed);
    }

    @Override
    public void ended(Attempt sender) {
        if (answer.status() >= MIN_SERVER_ERROR_STATUS) {
            attemptFailed(sender, AttemptFailure.SERVER_ERROR);
            return;
        }
        attempt = null;
        context.metrics().attempt(request.service(), "whole");
        if (answer.status() < MIN_FAILURE_STATUS) {
            crashes.ranToCompletion();
        }
        answer.end();
        if (!finished) {
            end("whole", answer.status(), sender);
        }
    }

    @Override
    public void failed(Attempt sender, AttemptFailure failure) {
        if (!crashes.needsCheck(sender, failure)) {
            attemptFailed(sender, failure);
            return;
        }
        attempt = null;
        responseTimeout.stop();
        checkReachable(sender.upstream(), reached -> brokenAttemptChecked(sender, reached));
    }

    private void checkReachable(Upstream upstream, Consumer<Boolean> result) {
        context.connector().check(calls.check(upstream), result);
    }

    /**
     * Continues after an attempt whose connection broke. An upstream that can be reached right
     * afterwards has not ended, but may do so soon.
     */
    private void brokenAttemptChecked(Attempt sender, boolean reached) {
        if (reached) {
            crashes.attemptAbandoned(sender);
        }
        AttemptFailure failure = reached ? AttemptFailure.PATH_LOST : AttemptFailure.BROKEN;
        if (finished) {
            crashes.failed(sender, failure);
        } else {
            attemptFailed(sender, failure);
        }
    }

    private void nextAttempt() {
        if (version.isToBeFound()) {
            context.streamExchange().find(version.call(), this::streamFound);
            return;
        }
        long now = context.loop().nowMillis();
        if (version.awaitsPlan(now) && now - admittedMillis < MAX_PLAN_WAIT_MILLIS) {
            context.loop().schedule(PLAN_CHECK_INTERVAL_MILLIS, this::continueAfterPlan);
            return;
        }
        StreamOrigin origin = version.origin(now);
        if (!origin.isKnown()) {
            turnAwayWithoutVersion(origin, now);
            return;
        }
        Optional<Selection> choice = choose(origin.required(), now);
        long waitMillis = choice.isEmpty() ? context.rollouts().heldMillis(request.service()) : 0;
        if (waitMillis > 0) {
            context.loop().schedule(waitMillis, this::continueAfterRollout);
        } else if (choice.isEmpty()) {
            turnAwayWithoutChoice(origin, now);
        } else if (!history.hasAnswerStarted()
                && choice.get().slotWaitMillis() > request.deadlineMillis() - now) {
            turnAway(TurnedAway.NO_PLACE_IN_TIME, choice.get().slotWaitMillis());
        } else {
            send(choice.get(), origin, now);
        }
    }

    private void continueAfterPlan() {
        if (!finished) {
            nextAttempt();
        }
    }

    private void streamFound(StreamExchange.Finding finding) {
        if (!finished) {
            version.found(finding);
            nextAttempt();
        }
    }

    private void turnAwayWithoutVersion(StreamOrigin origin, long now) {
        if (origin.source() == StreamOrigin.Source.ISOLATED) {
            turnAway(TurnedAway.ISOLATED, 0);
            return;
        }
        StreamVersions streams = context.streams();
        DecisionLog.write(
                new VersionUnknown(
                        request.id(),
                        version.call(),
                        version.finding(),
                        streams.list().ageMillis(now),
                        request.deadlineMillis() - now,
                        streams.describe(version.call(), now)));
        boolean outdated = origin.source() == StreamOrigin.Source.OUTDATED;
        turnAway(outdated ? TurnedAway.OTHERS_UNKNOWN : TurnedAway.VERSION_UNKNOWN, 0);
    }

    private void turnAwayWithoutChoice(StreamOrigin origin, long now) {
        long unavailableMillis =
                context.availability()
                        .untilAnyAcceptsMillis(request.service(), request.priority(), now);
        if (unavailableMillis > 0) {
            turnAway(TurnedAway.NONE_AVAILABLE, unavailableMillis);
        } else if (selector.wasCapacityShort()) {
            turnAway(TurnedAway.NO_BODY_CAPACITY, 0);
        } else {
            turnAway(
                    origin.required().isPresent() ? TurnedAway.NO_VERSION : TurnedAway.NO_UPSTREAM,
                    0);
        }
    }

    /** Makes the next attempt after the request has waited for a roll-out. */
    private void continueAfterRollout() {
        if (finished) {
            return;
        }
        if (crashes.refusesRetry()) {
            giveUp(RecoveryPolicy.endingOf(history));
        } else {
            version.waited();
            nextAttempt();
        }
    }

    /** Ends the request at once because no upstream can serve it in time. */
    private void turnAway(String reason, long placeMillis) {
        TurnedAway.notResumed(reason).ifPresent(context.metrics()::count);
        long remainingMillis = request.deadlineMillis() - context.loop().nowMillis();
        DecisionLog.write(new TurnedAway(request.id(), reason, placeMillis, remainingMillis));
        giveUp(RecoveryPolicy.endingOf(history));
    }

    private void send(Selection selection, StreamOrigin origin, long now) {
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
                        context.streams().list().ageMillis(now),
                        history.lastEventId(),
                        upstream.version(),
                        origin.source()));
        selection.crossRegion().ifPresent(this::recordCrossing);
        context.selector().sent(request, upstream.id());
        answer.newAttempt(upstream);
        attempt = new Attempt(context, request, selection, this);
        responseTimeout.watch(attempt, selection);
        version.sent(upstream, context.streamTelling(), now);
        attempt.start(calls.to(upstream, history.lastEventId(), now));
    }

    private void recordCrossing(CrossRegionChoice crossing) {
        context.metrics().count(GatewayMetrics.Event.SENT_TO_OTHER_REGION);
        DecisionLog.write(
                new SentAcross(
                        request.id(),
                        crossing.region(),
                        crossing.localMillis(),
                        crossing.remoteMillis()));
    }

    private void firstByte() {
        firstByteMillis = context.loop().nowMillis() - request.acceptedMillis();
        context.metrics().firstAnswer(request.organisation(), request.service(), firstByteMillis);
    }

    private void recordRunStarted() {
        if (!runStarted) {
            runStarted = true;
            context.usage().started(request.organisation(), context.clock().millis());
        }
    }

    private void attemptFailed(Attempt sender, AttemptFailure failure) {
        attempt = null;
        responseTimeout.stop();
        history.failed(sender.upstream().id(), failure);
        crashes.failed(sender, failure);
        context.metrics().attempt(request.service(), failure.name());
        long now = context.loop().nowMillis();
        Recovery recovery = RecoveryPolicy.after(request, history, failure, true, now);
        if (!(recovery instanceof GiveUp) && crashes.refusesRetry()) {
            recovery = RecoveryPolicy.after(request, history, failure, false, now);
        }
        boolean budgetEmpty = !(recovery instanceof GiveUp) && !retries.allowsAnother(now);
        if (budgetEmpty) {
            context.metrics().count(GatewayMetrics.Event.RETRY_BUDGET_EMPTY);
            recovery = RecoveryPolicy.after(request, history, failure, false, now);
        }
        DecisionLog.write(
                new AttemptFailed(
                        request.id(),
                        sender.upstream().id(),
                        failure.name(),
                        sender.callFailure().map(CallFailure::name).orElse(""),
                        sender.status(),
                        sender.ageMillis(),
                        recovery.toString(),
                        budgetEmpty));
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
            context.quotas().add(request.organisation(), units, context.loop().nowMillis());
        }
        switch (ending) {
            case PASSED_ON -> answer.respondBuffered();
            case BROKEN_OFF -> exchange.abort();
            default ->
                    exchange.respond(
                            ending.status(),
                            context.protocol().refusal(retryAfterMillis(ending)),
                            EMPTY_BODY);
        }
        int status = ending == Ending.PASSED_ON ? answer.status() : ending.status();
        end(ending.name(), status, last);
    }

    private long retryAfterMillis(Ending ending) {
        boolean helps = !crashes.hasStopped() && !version.isResumedAgainstRoute();
        return ending == Ending.NOT_RUN && helps
                ? context.retryAfter().retryAfterMillis(request, context.loop().nowMillis())
                : 0;
    }

    private void deadlineReached() {
        if (finished) {
            return;
        }
        Ending ending = RecoveryPolicy.endingAtDeadline(history);
        Attempt last = attempt;
        if (attempt != null && attempt.isSent()) {
            context.loads().failed(attempt.upstream().id(), context.loop().nowMillis());
            attempt.reportWithoutProgress(WithoutProgress.Finding.TOO_LONG);
            crashes.failed(attempt, AttemptFailure.SILENT);
        }
        cancelAttempt();
        giveUp(ending, last);
    }

    private void callerDisconnected() {
        if (!finished) {
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
        finished = true;
        answer.close();
        responseTimeout.stop();
        retries.end();
        deadline.cancel();
        long durationMillis = context.loop().nowMillis() - request.acceptedMillis();
        context.metrics()
                .requestEnded(request.organisation(), request.service(), outcome, durationMillis);
        String upstream = last == null ? "" : last.upstream().id();
        DecisionLog.write(
                new Ended(
                        request.id(),
                        outcome,
                        status,
                        upstream,
                        history.sent(),
                        durationMillis,
                        firstByteMillis));
        onEnd.accept(this);
    }
}
