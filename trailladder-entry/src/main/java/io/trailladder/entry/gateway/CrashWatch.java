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

import io.trailladder.core.RecentMap;
import io.trailladder.core.crash.CancelledRequests;
import io.trailladder.core.crash.CancelledRequests.CancelledRequest;
import io.trailladder.core.crash.CrashLedger;
import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.CrashVerdict;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.crash.UpstreamEnd;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Detects requests that end the upstreams that run them, and has them refused. */
public final class CrashWatch {
    /** How often {@link #check} is to be called, in milliseconds. */
    static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** Min. time between two log lines about one refused request, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    /** Max. number of parts of prompts that are known to have survived, of about 100 bytes each. */
    private static final int MAX_SURVIVED_PARTS = 4_096;

    /** Max. number of requests whose last log line is remembered. */
    private static final int MAX_LOGGED_REQUESTS = 256;

    private final CrashLedger ledger = new CrashLedger();
    private final CancelledRequests abandoned = new CancelledRequests();

    /** When a request with a part of a prompt last survived at an upstream, in milliseconds. */
    private final Map<RequestTrait, Long> survivedMillis = new RecentMap<>(MAX_SURVIVED_PARTS);

    private final LongSupplier nowMillis;
    private final GatewayMetrics metrics;
    private final Map<RequestTrait, Long> loggedMillis = new RecentMap<>(MAX_LOGGED_REQUESTS);
    private Runnable onNewEnd = () -> {};
    private Consumer<RequestTrait> onRefused = request -> {};
    private long listValidSinceMillis = Long.MAX_VALUE;

    CrashWatch(LongSupplier nowMillis, GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.metrics = metrics;
    }

    /** Sets the task that runs when this process observes an end that was not known. */
    void onNewEnd(Runnable task) {
        onNewEnd = task;
    }

    /** Sets the listener that is called with each request that is refused from then on. */
    void onRefused(Consumer<RequestTrait> listener) {
        onRefused = listener;
    }

    CrashLedger ledger() {
        return ledger;
    }

    /** Returns whether a request that has just arrived is refused; counts and logs the refusal. */
    boolean refuses(String tryId, RequestIdentity identity) {
        if (!ledger.hasSuspects()) {
            return false;
        }
        List<RequestTrait> triedAgain = new ArrayList<>();
        for (RequestTrait trait : identity.traits()) {
            CrashVerdict verdict = ledger.verdict(trait, nowMillis.getAsLong());
            if (verdict == CrashVerdict.REFUSED) {
                return recordRefusal(tryId, trait);
            } else if (verdict == CrashVerdict.TRIED_AGAIN) {
                triedAgain.add(trait);
            }
        }
        for (RequestTrait trait : triedAgain) {
            ledger.retried(trait);
            DecisionLog.write(new Lifecycle("request " + trait, "sent once more", "try " + tryId));
        }
        return false;
    }

    /**
     * Returns whether a request whose attempt has failed must not be sent again; counts and logs
     * the refusal.
     *
     * @param tryId the id of the attempt's request
     * @param identity the request
     * @param endedUpstream true if the attempt's upstream ended before it had answered, so that a
     *     suspected part is enough
     */
    boolean refusesRetry(String tryId, RequestIdentity identity, boolean endedUpstream) {
        if (!ledger.hasSuspects()) {
            return false;
        }
        for (RequestTrait trait : identity.traits()) {
            if (ledger.verdict(trait, nowMillis.getAsLong()) != CrashVerdict.SERVED
                    || (endedUpstream && trait.isPart() && ledger.isSuspected(trait))) {
                return recordRefusal(tryId, trait);
            }
        }
        return false;
    }

    /** Counts and logs a refusal; always returns true. */
    private boolean recordRefusal(String tryId, RequestTrait request) {
        metrics.count(GatewayMetrics.Event.REFUSED_AS_CRASHING);
        long now = nowMillis.getAsLong();
        Long logged = loggedMillis.get(request);
        if (logged == null || now - logged >= LOG_INTERVAL_MILLIS) {
            loggedMillis.put(request, now);
            DecisionLog.write(
                    new RefusedAsCrashing(tryId, request, ledger.countedEnds(request), now));
        }
        return true;
    }

    /** Records that an upstream ended, or its connection did, while it ran a request. */
    void recordEnd(String tryId, RequestIdentity identity, Upstream upstream, long ranMillis) {
        recordEnd(abandoned(tryId, identity, upstream, ranMillis, false));
        upstreamLost(upstream);
    }

    /**
     * Records that an upstream ended, or its connection did, a while after it had begun to answer a
     * request: no part of the prompt was the cause.
     */
    void recordEndWhileAnswering(
            String tryId, RequestIdentity identity, Upstream upstream, long ranMillis) {
        recordEnd(abandoned(tryId, identity, upstream, ranMillis, true));
        upstreamLost(upstream);
    }

    /**
     * Records that an attempt was abandoned. Its upstream may still end because of the request, see
     * {@link #upstreamLost}.
     */
    void attemptAbandoned(
            String tryId,
            RequestIdentity identity,
            Upstream upstream,
            long ranMillis,
            boolean answering) {
        abandoned.add(abandoned(tryId, identity, upstream, ranMillis, answering));
    }

    private CancelledRequest abandoned(
            String tryId,
            RequestIdentity identity,
            Upstream upstream,
            long ranMillis,
            boolean answering) {
        long now = nowMillis.getAsLong();
        return new CancelledRequest(
                tryId,
                identity.whole(),
                answering ? List.of() : identity.parts(),
                upstream.id(),
                incarnationOf(upstream),
                now - ranMillis,
                now);
    }

    /**
     * Records that an upstream has ended or appears to have ended. The end counts against requests
     * that were abandoned at that upstream shortly before.
     */
    void upstreamLost(Upstream upstream) {
        for (CancelledRequest abandoned :
                abandoned.takeFrom(upstream.id(), nowMillis.getAsLong())) {
            recordEnd(abandoned);
        }
    }

    private void recordEnd(CancelledRequest attempt) {
        RequestTrait request = attempt.request();
        boolean isNew =
                ledger.ended(
                        request,
                        attempt.incarnation(),
                        attempt.sentMillis(),
                        attempt.cancelledMillis(),
                        nowMillis.getAsLong());
        DecisionLog.write(
                new UpstreamEnded(
                        attempt.attemptId(),
                        request,
                        attempt.parts(),
                        attempt.upstream(),
                        attempt.cancelledMillis() - attempt.sentMillis(),
                        ledger.countedEnds(request).size()));
        boolean isNewOfPart = false;
        for (RequestTrait part : attempt.parts()) {
            isNewOfPart |= recordEndUnderPart(attempt, part);
        }
        if (isNew || isNewOfPart) {
            onNewEnd.run();
            notifyIfRefused(request);
            attempt.parts().forEach(this::notifyIfRefused);
        }
    }

    private boolean recordEndUnderPart(CancelledRequest attempt, RequestTrait part) {
        boolean isNew =
                ledger.endedUnderPart(
                        part,
                        attempt.request(),
                        attempt.incarnation(),
                        attempt.sentMillis(),
                        attempt.cancelledMillis(),
                        nowMillis.getAsLong());
        tellSurvival(part);
        return isNew;
    }

    /** Has the ledger know, and peers told, when a suspected part last survived here. */
    private void tellSurvival(RequestTrait part) {
        Long atMillis = survivedMillis.get(part);
        if (atMillis != null) {
            ledger.survived(part, atMillis, nowMillis.getAsLong());
        }
    }

    /**
     * Records that an upstream has been answering a request for a while, so that no part of the
     * prompt ends upstreams.
     */
    void survived(RequestIdentity identity) {
        long now = nowMillis.getAsLong();
        for (RequestTrait part : identity.parts()) {
            survivedMillis.put(part, now);
            ledger.survived(part, now, now);
        }
    }

    /**
     * Records that an upstream has answered a request, so that it was running when the request was
     * sent. An upstream that does not report its start time is ignored, since it may be a later
     * incarnation under the same name.
     */
    void answered(Upstream upstream, long sentMillis) {
        if (ledger.hasSuspects() && upstream.startedMillis() > 0) {
            ledger.observedAlive(incarnationOf(upstream), sentMillis);
        }
    }

    /**
     * Records that an upstream has announced that it leaves, which shows that it had not ended.
     * Without this, three connections that broke to upstreams that left soon after would have a
     * harmless request refused.
     */
    void announcedLeaving(Upstream upstream) {
        if (!ledger.isEmpty()) {
            ledger.observedAlive(incarnationOf(upstream), nowMillis.getAsLong());
        }
    }

    private static long incarnationOf(Upstream upstream) {
        return UpstreamEnd.incarnationOf(upstream.id(), upstream.startedMillis());
    }

    /**
     * Records that a request ran to completion, which clears even a single end. Otherwise single
     * ends seen by several processes would add up, although the request completed in between.
     */
    void ranToCompletion(RequestIdentity identity) {
        survived(identity);
        if (!ledger.isEmpty() && ledger.cleared(identity.whole(), nowMillis.getAsLong())) {
            DecisionLog.write(
                    new Lifecycle(
                            "request " + identity.whole(), "cleared", "it ran to completion"));
        }
    }

    /** Clears a request on an operator's request; returns false if no end of it was known. */
    boolean lift(RequestTrait request) {
        boolean lifted = ledger.cleared(request, nowMillis.getAsLong());
        if (lifted) {
            DecisionLog.write(new Lifecycle("request " + request, "cleared", "by an operator"));
        }
        return lifted;
    }

    /** Applies a report from a peer or from the store. */
    void receiveReport(String source, CrashReport report) {
        if (ledger.received(source, report, nowMillis.getAsLong())) {
            DecisionLog.write(
                    new Lifecycle(
                            "request " + report.request(),
                            "refused from now",
                            report.ends().size() + " ends, reported by " + source));
            notifyIfRefused(report.request());
        }
        if (report.request().isPart()) {
            tellSurvival(report.request());
        }
    }

    private void notifyIfRefused(RequestTrait request) {
        if (ledger.verdict(request, nowMillis.getAsLong()) == CrashVerdict.REFUSED) {
            onRefused.accept(request);
        }
    }

    /**
     * Dismisses ends of upstreams that are still listed, drops old ends, and updates the metrics.
     * To be called every {@link #CHECK_INTERVAL_MILLIS} milliseconds.
     *
     * @param listed the listed upstreams
     * @param listValid true if the list is valid: the store answers, and no entries are missing
     *     that may reappear
     */
    void check(Collection<Upstream> listed, boolean listValid) {
        long now = nowMillis.getAsLong();
        listValidSinceMillis = listValid ? Math.min(listValidSinceMillis, now) : Long.MAX_VALUE;
        if (ledger.isEmpty()) {
            return;
        }
        Set<Long> listedIncarnations = new HashSet<>();
        listed.forEach(upstream -> listedIncarnations.add(incarnationOf(upstream)));
        ledger.cleanUp(listedIncarnations, Math.min(listValidSinceMillis, now), now);
        metrics.crashing(ledger.refused().size(), ledger.size());
    }
}
