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
import io.trailladder.core.upstream.SendSlot;
import io.trailladder.core.upstream.Selection;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.CallListener;
import io.trailladder.entry.http.ClientCall;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.OutgoingCall;
import java.util.Optional;

/**
 * One sending of a request to an upstream. It keeps the upstream's load and health true, and sorts
 * answers from failures.
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
    private boolean promptRead;
    private boolean finished;
    private int status;
    private long lastReceivedMillis;
    private long firstEventMillis = -1;
    private int eventsReceived;

    /** Told what becomes of the attempt. Only one of the last four methods is called, once. */
    interface Listener {
        /** The request is about to leave. */
        void sending(Attempt attempt);

        /** A good answer, or one to be passed on, begins. */
        void answered(Attempt attempt, int status, HeaderList headers, long length);

        /** A part of that answer's body. */
        void body(Attempt attempt, byte[] bytes);

        /** That answer is whole. */
        void ended(Attempt attempt);

        /** The attempt has failed. */
        void failed(Attempt attempt, AttemptFailure failure);
    }

    Attempt(ServingContext context, ServingRequest request, Selection selection, Listener owner) {
        this.context = context;
        this.request = request;
        this.upstream = selection.upstream();
        this.uncachedTokens = Math.max(0, request.prompt().tokensIn() - selection.cachedTokens());
        this.waitingTokens = selection.waitingTokens();
        this.predictedMillis = selection.predictedMillis();
        this.listener = owner;
        this.createdMillis = context.loop().nowMillis();
        this.lastReceivedMillis = createdMillis;
    }

    void start(OutgoingCall outgoing) {
        // the turn that the choice counted on, which nobody else may count on now
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

    boolean isSent() {
        return sent;
    }

    int status() {
        return status;
    }

    long ageMillis() {
        return context.loop().nowMillis() - createdMillis;
    }

    long unresponsiveMillis() {
        return context.loop().nowMillis() - lastReceivedMillis;
    }

    /** Stops the attempt; its owner is told nothing more. */
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
     * Records events of the answer that have come whole.
     *
     * @param more how many, at least one
     */
    void eventsReceived(int more) {
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
        eventsReceived += more;
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
    public void sending() {
        sent = true;
        sentMillis = context.loop().nowMillis();
        sendSlot.ifPresent(context.limits()::sent);
        context.backoffs().sent(upstream, context.loop().nowMillis());
        context.rollouts().sent(request.service());
        listener.sending(this);
    }

    @Override
    public void head(int answered, HeaderList headers, long length) {
        status = answered;
        lastReceivedMillis = context.loop().nowMillis();
        if (context.protocol().belongsToAnother(request.id(), headers)) {
            failAsForeign();
        } else if (context.protocol().misdirected(answered)) {
            fail(AttemptFailure.MISDIRECTED);
        } else {
            AnswerNotice notice = context.protocol().notice(answered, headers);
            context.notices().received(request.id(), upstream, answered, notice, sentMillis);
            answered(answered, headers, length);
        }
    }

    private void answered(int answered, HeaderList headers, long length) {
        if (context.protocol().notExecuted(answered, headers)) {
            fail(AttemptFailure.NOT_EXECUTED);
        } else if (!context.protocol().belongs(request.id(), headers)) {
            failAsForeign();
        } else {
            context.crashes().answered(upstream, createdMillis);
            if (answered <= MAX_SUCCESS_STATUS) {
                context.backoffs().requestAccepted(upstream, lastReceivedMillis);
            }
            listener.answered(this, answered, headers, length);
        }
    }

    /**
     * What another request's answer says, also that it has not run, is not believed of this one.
     */
    private void failAsForeign() {
        context.metrics().count(GatewayMetrics.Event.FOREIGN_ANSWER);
        fail(AttemptFailure.BROKEN);
    }

    @Override
    public void body(byte[] bytes) {
        if (!finished) {
            lastReceivedMillis = context.loop().nowMillis();
            listener.body(this, bytes);
        }
    }

    @Override
    public void ended() {
        if (finished) {
            return;
        }
        long now = context.loop().nowMillis();
        if (status >= MIN_SERVER_ERROR_STATUS) {
            context.loads().failed(upstream.id(), now);
        } else if (status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS) {
            context.loads().succeeded(upstream.id(), now);
            recordTimings(now);
        }
        recordVersionAnswer(status >= MIN_SERVER_ERROR_STATUS, true);
        finish();
        listener.ended(this);
    }

    /** Has the end of the attempt count for, or against, the version of its upstream. */
    private void recordVersionAnswer(boolean failed, boolean whole) {
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
                        whole ? meanEventGapMillis() : 0,
                        whole);
        context.rollouts().answered(request.service(), upstream, seen);
    }

    /** The mean pause between the events, in milliseconds; 0 if there were too few. */
    private double meanEventGapMillis() {
        long now = context.loop().nowMillis();
        return eventsReceived > 1 ? (now - firstEventMillis) / (eventsReceived - 1.0) : 0;
    }

    /** Has the whole answer tell how fast the upstream is. */
    private void recordTimings(long nowMillis) {
        context.engines().ended(request.service(), nowMillis - createdMillis, nowMillis);
        if (eventsReceived > 1) {
            int running = context.loads().requests(upstream.id());
            context.engines().paused(request.service(), running, meanEventGapMillis(), nowMillis);
        }
    }

    @Override
    public void failed(CallFailure failure) {
        switch (failure) {
            case UNREACHABLE -> fail(sent ? AttemptFailure.BROKEN : AttemptFailure.UNREACHABLE);
            case WITHHELD -> fail(AttemptFailure.NOT_SENT);
            case BROKEN -> fail(AttemptFailure.BROKEN);
        }
    }

    /** Ends the attempt as failed and breaks its connection off. */
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
        } else if (failure != AttemptFailure.LEAVING && failure != AttemptFailure.NOT_SENT) {
            context.loads().failed(upstream.id(), now);
        }
        if (failure == AttemptFailure.SILENT || failure == AttemptFailure.BROKEN) {
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
