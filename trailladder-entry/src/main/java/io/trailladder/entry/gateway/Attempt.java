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

import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.rollout.AnswerObservation;
import io.trailladder.core.upstream.AnswerNotice;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.SendSlot;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.CallListener;
import io.trailladder.entry.http.ClientCall;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.port.AnswerIdentity;
import java.util.Optional;

/**
 * One attempt to run a request at an upstream. It keeps the load and health of the upstream up to
 * date and tells usable answers from failures.
 */
final class Attempt implements CallListener {
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final ServingContext context;
    private final ServingRequest request;
    private final Upstream upstream;
    private final int uncachedTokens;
    private final int waitingTokens;
    private final double predictedMillis;
    private final Listener listener;
    private final long createdMillis;
    private Optional<SendSlot> sendSlot = Optional.empty();
    private ClientCall call;
    private boolean sent;
    private long sentMillis;
    private boolean relayed;
    private boolean promptRead;
    private boolean finished;
    private AnswerFraming framing = AnswerFraming.CONNECTION;
    private int status;
    private long lastReceivedMillis;
    private long progressMillis;
    private long bytesWithoutProgress;
    private boolean reportedWithoutProgress;
    private long firstEventMillis = -1;
    private Optional<CallFailure> callFailure = Optional.empty();
    private int eventsReceived;

    /**
     * Receives the events of an attempt. At most one of {@link #ended} and {@link #failed} is
     * called, at most once.
     */
    interface Listener {
        /** Called before the first byte of the request is sent. */
        void sending(Attempt attempt);

        /** Called when an answer begins that may be relayed to the caller. */
        void answered(Attempt attempt, int status, HeaderList headers, long length);

        /** Called with each part of the body of that answer. */
        void body(Attempt attempt, byte[] bytes);

        /**
         * Called when no more of that answer will come. The listener calls {@link Attempt#complete}
         * or {@link Attempt#fail}.
         *
         * @param framed true if its length or chunks, and not only the end of its connection, say
         *     that it is complete
         */
        void answerEnded(Attempt attempt, boolean framed);

        /** Called when that answer is complete. */
        void ended(Attempt attempt);

        /** Called when the attempt has failed. */
        void failed(Attempt attempt, AttemptFailure failure);
    }

    Attempt(
            ServingContext context,
            ServingRequest request,
            Selection selection,
            Listener listener) {
        this.context = context;
        this.request = request;
        this.upstream = selection.upstream();
        this.uncachedTokens = Math.max(0, request.prompt().tokensIn() - selection.cachedTokens());
        this.waitingTokens = selection.waitingTokens();
        this.predictedMillis = selection.predictedMillis();
        this.listener = listener;
        this.createdMillis = context.loop().nowMillis();
        this.lastReceivedMillis = createdMillis;
        this.progressMillis = createdMillis;
    }

    void start(OutgoingCall outgoing) {
        // takes the send slot that the selection counted on, so that no other request counts on it
        sendSlot = context.limits().take(upstream);
        context.loads().sent(upstream.id(), uncachedTokens);
        context.rollouts().chosen(request.service(), upstream);
        context.demand().sent(request.service(), uncachedTokens, createdMillis);
        call = context.connector().send(outgoing, this);
        if (finished) {
            call.cancel();
        }
    }

    Upstream upstream() {
        return upstream;
    }

    /** Returns whether the attempt has completed, failed or been cancelled. */
    boolean isFinished() {
        return finished;
    }

    boolean isSent() {
        return sent;
    }

    /** Returns whether the whole request has been written to the upstream. */
    boolean isBodyWritten() {
        return call != null && call.isWritten();
    }

    /** Returns whether a peer relays the connection to the upstream. */
    boolean isRelayed() {
        return relayed;
    }

    int status() {
        return status;
    }

    /** Returns how the answer tells where its body ends. */
    AnswerFraming framing() {
        return framing;
    }

    int events() {
        return eventsReceived;
    }

    /** Returns how the call to the upstream failed; empty if it did not, or was given up. */
    Optional<CallFailure> callFailure() {
        return callFailure;
    }

    long ageMillis() {
        return context.loop().nowMillis() - createdMillis;
    }

    /** Returns the time since the first complete event, in milliseconds; 0 without one. */
    long answeringMillis() {
        return firstEventMillis < 0 ? 0 : context.loop().nowMillis() - firstEventMillis;
    }

    /** Returns the time since any byte of the answer was received, in milliseconds. */
    long unresponsiveMillis() {
        return context.loop().nowMillis() - lastReceivedMillis;
    }

    /** Returns the time since the answer last progressed, in milliseconds. */
    long millisWithoutProgress() {
        return context.loop().nowMillis() - progressMillis;
    }

    /** Returns whether bytes of a body have arrived since the answer last progressed. */
    boolean hasBytesWithoutProgress() {
        return bytesWithoutProgress > 0;
    }

    /** Records that what has arrived brings the answer nearer to its end. */
    void progressed() {
        progressMillis = context.loop().nowMillis();
        bytesWithoutProgress = 0;
    }

    /** Logs and counts, once for each attempt and finding, that bytes complete nothing. */
    void reportWithoutProgress(WithoutProgress.Finding finding) {
        boolean kept = finding == WithoutProgress.Finding.KEPT;
        if (!hasBytesWithoutProgress() || (kept && reportedWithoutProgress)) {
            return;
        }
        if (!reportedWithoutProgress) {
            context.metrics().count(GatewayMetrics.Event.ANSWER_WITHOUT_PROGRESS);
        }
        reportedWithoutProgress = true;
        DecisionLog.write(
                new WithoutProgress(
                        request.id(),
                        upstream.id(),
                        framing,
                        eventsReceived,
                        bytesWithoutProgress,
                        millisWithoutProgress(),
                        unresponsiveMillis(),
                        finding));
    }

    /** Cancels the attempt; its listener is not called any more. */
    void cancel() {
        if (!finished) {
            recordVersionAnswer(false, false);
            finish();
            if (call != null) {
                call.cancel();
            }
        }
    }

    /**
     * Records events of the answer that are complete.
     *
     * @param count the number of events, at least one
     */
    void eventsReceived(int count) {
        if (eventsReceived == 0) {
            firstEventMillis = context.loop().nowMillis();
            promptRead();
            context.engines()
                    .firstEvent(
                            request.service(),
                            uncachedTokens,
                            waitingTokens,
                            firstEventMillis - createdMillis,
                            firstEventMillis);
        }
        eventsReceived += count;
        progressed();
    }

    private void promptRead() {
        if (!promptRead) {
            promptRead = true;
            context.loads().promptRead(upstream.id(), uncachedTokens);
        }
    }

    @Override
    public boolean isWanted() {
        long now = context.loop().nowMillis();
        if (sendSlot.isEmpty()) {
            sendSlot = context.limits().take(upstream);
        }
        boolean wanted =
                context.availability().of(upstream, sendSlot.isPresent(), now)
                        == UpstreamAvailability.State.TAKES_REQUESTS;
        if (!wanted) {
            context.metrics().count(GatewayMetrics.Event.SENDING_WITHHELD);
        }
        return wanted;
    }

    @Override
    public void connected(Optional<String> peer) {
        relayed = peer.isPresent();
    }

    @Override
    public void sending() {
        sent = true;
        sentMillis = context.loop().nowMillis();
        sendSlot.ifPresent(context.limits()::sent);
        context.backoffs().sent(upstream, context.loop().nowMillis());
        context.rollouts().sent(request.service());
        listener.sending(this);
    }

    @Override
    public void head(int answerStatus, HeaderList headers, long length) {
        status = answerStatus;
        framing = AnswerFraming.of(headers, length);
        lastReceivedMillis = context.loop().nowMillis();
        progressed();
        AnswerIdentity identity = context.protocol().identity(request.id(), answerStatus, headers);
        if (identity != AnswerIdentity.OF_ANOTHER_REQUEST
                && identity != AnswerIdentity.MISDIRECTED) {
            AnswerNotice notice = context.protocol().notice(answerStatus, headers);
            context.notices().received(request.id(), upstream, answerStatus, notice, sentMillis);
        }
        switch (identity) {
            case OWN -> answered(headers, length);
            case NOT_EXECUTED -> {
                refused();
                fail(AttemptFailure.NOT_EXECUTED);
            }
            case MISDIRECTED -> fail(AttemptFailure.MISDIRECTED);
            case UNCONFIRMED_REFUSAL -> refusalUnconfirmed(identity, headers, length);
            case OF_ANOTHER_REQUEST, UNPROVEN -> failAsForeign(identity);
        }
    }

    /** Passes on a refusal that may be untrue only where it is asked again after any failure. */
    private void refusalUnconfirmed(AnswerIdentity identity, HeaderList headers, long length) {
        if (request.route().repeatable()) {
            answered(headers, length);
        } else {
            failAsForeign(identity);
        }
    }

    private void answered(HeaderList headers, long length) {
        context.crashes().answered(upstream, createdMillis);
        if (status <= MAX_SUCCESS_STATUS) {
            context.backoffs().requestAccepted(upstream, lastReceivedMillis);
        }
        listener.answered(this, status, headers, length);
    }

    /** Sends an upstream that bears few refusals nothing for a while after one. */
    private void refused() {
        long pauseMillis = context.brittle().refused(upstream);
        if (pauseMillis > 0) {
            long withJitter = context.retryAfter().withJitter(pauseMillis);
            context.backoffs().backoffRequested(upstream, withJitter, lastReceivedMillis);
        }
    }

    /** Fails the attempt because its answer is not shown to be the upstream's to this request. */
    private void failAsForeign(AnswerIdentity identity) {
        context.metrics().count(GatewayMetrics.Event.FOREIGN_ANSWER);
        DecisionLog.write(
                new AnswerUnidentified(request.id(), upstream.id(), status, framing, identity));
        fail(AttemptFailure.BROKEN);
    }

    @Override
    public void body(byte[] bytes) {
        if (!finished) {
            lastReceivedMillis = context.loop().nowMillis();
            bytesWithoutProgress += bytes.length;
            listener.body(this, bytes);
        }
    }

    @Override
    public void ended() {
        if (!finished) {
            listener.answerEnded(this, true);
        }
    }

    @Override
    public void endedUnframed() {
        if (!finished) {
            listener.answerEnded(this, false);
        }
    }

    /** Ends the attempt with what has arrived of the answer as the whole answer. */
    void complete() {
        if (finished) {
            return;
        }
        long now = context.loop().nowMillis();
        if (status >= MIN_SERVER_ERROR_STATUS) {
            context.loads().failed(upstream.id(), now);
        } else if (status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS) {
            context.loads().succeeded(upstream.id(), now);
            context.brittle().ended(upstream, now - sentMillis);
            recordTimings(now);
        }
        recordVersionAnswer(status >= MIN_SERVER_ERROR_STATUS, true);
        finish();
        listener.ended(this);
    }

    /** Records the end of the attempt for the roll-out of the version that its upstream runs. */
    private void recordVersionAnswer(boolean failed, boolean complete) {
        if (!sent) {
            return;
        }
        long firstAt = firstEventMillis < 0 ? context.loop().nowMillis() : firstEventMillis;
        AnswerObservation seen =
                new AnswerObservation(
                        request.route().name(),
                        failed,
                        (double) (firstAt - createdMillis),
                        predictedMillis,
                        complete ? meanEventGapMillis() : 0,
                        complete);
        context.rollouts().answered(request.service(), upstream, seen);
    }

    /** Returns the mean time between events, in milliseconds; 0 if there were fewer than two. */
    private double meanEventGapMillis() {
        long now = context.loop().nowMillis();
        return eventsReceived > 1 ? (now - firstEventMillis) / (eventsReceived - 1.0) : 0;
    }

    /** Records the timings of a complete answer for the model of engine speed. */
    private void recordTimings(long nowMillis) {
        context.engines().ended(request.service(), nowMillis - createdMillis, nowMillis);
        if (eventsReceived > 1) {
            int running = context.loads().requests(upstream.id());
            context.engines().paused(request.service(), running, meanEventGapMillis(), nowMillis);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        callFailure = Optional.of(failure);
        switch (failure) {
            case UNREACHABLE, CONNECT_TIMEOUT -> fail(AttemptFailure.UNREACHABLE);
            case WITHHELD -> fail(AttemptFailure.NOT_SENT);
            case BROKEN -> fail(AttemptFailure.BROKEN);
            case RELAY_LOST -> fail(AttemptFailure.PATH_LOST);
        }
    }

    /** Ends the attempt as failed because its answer does not progress. */
    void failWithoutProgress(AttemptFailure reason) {
        if (!finished) {
            reportWithoutProgress(
                    switch (reason) {
                        case OVERSIZED -> WithoutProgress.Finding.TOO_LARGE;
                        case NO_MEMORY -> WithoutProgress.Finding.NO_MEMORY;
                        default -> WithoutProgress.Finding.TOO_LONG;
                    });
            fail(reason);
        }
    }

    /** Ends the attempt as failed and cancels its call. */
    void fail(AttemptFailure reason) {
        if (finished) {
            return;
        }
        AttemptFailure failure = sent ? reason : reason.beforeSending();
        long now = context.loop().nowMillis();
        if (failure == AttemptFailure.UNREACHABLE || failure == AttemptFailure.MISDIRECTED) {
            context.loads().unreachable(upstream.id(), now);
            if (failure == AttemptFailure.UNREACHABLE) {
                context.selector().unreachable(upstream, now);
            }
        } else if (failure.isUpstreamFault()) {
            context.loads().failed(upstream.id(), now);
        }
        if (failure == AttemptFailure.SILENT
                || failure == AttemptFailure.OVERSIZED
                || failure == AttemptFailure.NO_MEMORY
                || failure == AttemptFailure.BROKEN
                || failure == AttemptFailure.PATH_LOST) {
            recordVersionAnswer(false, false);
        }
        finish();
        if (call != null) {
            call.cancel();
        }
        listener.failed(this, failure);
    }

    private void finish() {
        finished = true;
        if (!sent) {
            sendSlot.ifPresent(context.limits()::returnSlot);
        }
        promptRead();
        context.loads().ended(upstream.id());
    }
}
