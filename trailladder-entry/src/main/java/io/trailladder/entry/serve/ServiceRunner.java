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
import io.trailladder.core.request.CallMachine;
import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.core.routing.RoutingQuery;
import io.trailladder.core.table.Row;
import io.trailladder.entry.MonotonicClock;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpFailureException;
import io.trailladder.platform.http.HttpFailureException.Kind;
import io.trailladder.platform.http.HttpReply;
import io.trailladder.wire.PeerMessage.Header;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs one call of a plain service. The answer is taken whole before any of it is passed on, so
 * that a caller never sees a cut one.
 *
 * @since 0.1
 */
final class ServiceRunner implements Placements.PendingRequest {
    private static final String KIND = "service";
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final ServingContext context;
    private final IncomingRequest request;
    private final String requestId;
    private final Row row;
    private final CallMachine machine;
    private final Consumer<Result> onResult;
    private final long startedMillis = MonotonicClock.millis();
    private State state = State.WAITING;

    private enum State {
        WAITING,
        SENT,
        ENDED
    }

    /** How a call ended. */
    sealed interface Result {
        /** The service answered. */
        record Completed(HttpReply reply) implements Result {}

        /** The call failed. */
        record Failed(Failure failure) implements Result {}

        /** Sends the result to a caller. */
        default void send(CallerSink sink, String requestId, String servedIn) {
            if (this instanceof Completed whole) {
                HttpReply reply = whole.reply();
                String type = reply.contentType();
                List<Header> headers =
                        List.of(
                                new Header(Answers.REQUEST_HEADER, requestId),
                                new Header(Answers.OUTCOME_HEADER, Outcome.RAN.headerValue()),
                                new Header(Answers.SERVED_HEADER, servedIn));
                Answers.send(
                        sink,
                        reply.status(),
                        type.isEmpty() ? "application/octet-stream" : type,
                        headers,
                        reply.body());
            } else if (this instanceof Failed failed) {
                Answers.sendFailure(sink, requestId, failed.failure());
            }
        }
    }

    ServiceRunner(
            ServingContext context,
            IncomingRequest request,
            String requestId,
            Row row,
            boolean repeatable,
            Consumer<Result> onResult) {
        this.context = context;
        this.request = request;
        this.requestId = requestId;
        this.row = row;
        this.machine = new CallMachine(repeatable, context.policies().budget(row.organisation()));
        this.onResult = onResult;
    }

    void start() {
        context.timer().schedule(this::failIfWaiting, queueTimeoutMillis(), TimeUnit.MILLISECONDS);
        place();
    }

    @Override
    public RoutingQuery query() {
        return new RoutingQuery(row.target(), null, 0, machine.excluded());
    }

    @Override
    public String organisation() {
        return row.organisation();
    }

    @Override
    public int weight() {
        return row.weight();
    }

    @Override
    public boolean answerStarted() {
        return false;
    }

    @Override
    public synchronized void placed(LocalUpstream upstream) {
        if (state != State.WAITING) {
            context.placements().release(upstream.id());
            return;
        }
        long waited = MonotonicClock.millis() - startedMillis;
        context.metrics().queued(row.organisation(), KIND, waited);
        state = State.SENT;
        context.client()
                .call(call(upstream))
                .whenComplete((reply, failure) -> answered(upstream, reply, failure));
    }

    private synchronized void place() {
        state = State.WAITING;
        Optional<LocalUpstream> upstream = context.placements().request(this);
        if (upstream.isPresent()) {
            placed(upstream.get());
        } else if (MonotonicClock.millis() - startedMillis >= queueTimeoutMillis()) {
            failIfWaiting();
        }
    }

    /** The wait for an upstream is over; a call that was sent is not given up here. */
    private synchronized void failIfWaiting() {
        if (state == State.WAITING) {
            state = State.ENDED;
            context.placements().withdraw(this);
            finish(new Result.Failed(machine.notPlaced(RETRY_AFTER_MILLIS)), "not-run");
        }
    }

    private long queueTimeoutMillis() {
        return context.settings().limits().queueMillis(row.latencyTargetMillis());
    }

    private void answered(LocalUpstream upstream, HttpReply reply, Throwable failure) {
        context.placements().release(upstream.id());
        context.placements().attemptEnded(upstream.id(), failure == null);
        if (failure == null) {
            machine.succeeded();
            finish(new Result.Completed(reply), "whole");
            return;
        }
        HttpFailureException cause =
                failure instanceof HttpFailureException http
                        ? http
                        : (HttpFailureException) failure.getCause();
        Optional<Failure> last = machine.attemptFailed(upstream.id(), cause.sent(), kind(cause));
        if (last.isEmpty()) {
            place();
        } else {
            Failure given = last.get();
            finish(new Result.Failed(given), given.outcome().headerValue());
        }
    }

    private void finish(Result result, String outcome) {
        long took = MonotonicClock.millis() - startedMillis;
        context.metrics().ended(row.organisation(), KIND, outcome, took);
        onResult.accept(result);
    }

    private HttpCall call(LocalUpstream upstream) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("Trailladder-Organisation", row.organisation());
        headers.put(Answers.REQUEST_HEADER, requestId);
        for (String name : List.of(IncomingRequest.KEY_HEADER, "Content-Type", "Accept")) {
            request.header(name).ifPresent(value -> headers.put(name, value));
        }
        String prefix = "/services/" + row.target();
        String path = request.path().substring(prefix.length());
        return new HttpCall(
                HostPort.parse(upstream.address()),
                request.method(),
                path.startsWith("/") ? path : "/" + path,
                headers,
                request.body(),
                context.settings().limits().upstreamIdleMillis());
    }

    private static Failure.Kind kind(HttpFailureException failure) {
        return failure.kind() == Kind.MALFORMED
                ? Failure.Kind.UPSTREAM_GARBAGE
                : failure.kind() == Kind.SILENT
                        ? Failure.Kind.UPSTREAM_TIMEOUT
                        : Failure.Kind.UPSTREAM_BROKEN;
    }
}
