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
import io.trailladder.core.crash.RequestFingerprint;
import io.trailladder.core.crash.UpstreamEnd;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Watches for requests that end the upstreams that run them, and has them refused. */
public final class CrashWatch {
    /** How often the watch looks through what it remembers, in milliseconds. */
    static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** How often a refused request's ends are logged, in milliseconds; its tries may be many. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    /** Most requests of which it is known when their ends were last logged. */
    private static final int MAX_LOGGED_REQUESTS = 256;

    private final CrashLedger ledger = new CrashLedger();
    private final CancelledRequests abandoned = new CancelledRequests();
    private final LongSupplier nowMillis;
    private final GatewayMetrics metrics;
    private final Map<RequestFingerprint, Long> loggedMillis = new RecentMap<>(MAX_LOGGED_REQUESTS);
    private Runnable onNewEnd = () -> {};
    private Consumer<RequestFingerprint> onRefused = request -> {};
    private long listValidSinceMillis = Long.MAX_VALUE;

    CrashWatch(LongSupplier nowMillis, GatewayMetrics metrics) {
        this.nowMillis = nowMillis;
        this.metrics = metrics;
    }

    /** Has a task run when an end was seen here that was not known. */
    void onNewEnd(Runnable task) {
        onNewEnd = task;
    }

    /** Has a listener told of each request that is refused from now on. */
    void onRefused(Consumer<RequestFingerprint> listener) {
        onRefused = listener;
    }

    CrashLedger ledger() {
        return ledger;
    }

    /** Tells whether a request that has just come is refused. */
    boolean refuses(String tryId, RequestIdentity identity) {
        CrashVerdict verdict = verdict(identity);
        if (verdict == CrashVerdict.TRIED_AGAIN) {
            ledger.retried(identity.fingerprint());
            DecisionLog.write(
                    new Lifecycle(
                            "request " + identity.fingerprint(), "sent once more", "try " + tryId));
        }
        return verdict == CrashVerdict.REFUSED && recordRefusal(tryId, identity);
    }

    /** Tells whether a request whose attempt has failed is not to be sent again. */
    boolean refusesRetry(String tryId, RequestIdentity identity) {
        return verdict(identity) != CrashVerdict.SERVED && recordRefusal(tryId, identity);
    }

    private CrashVerdict verdict(RequestIdentity identity) {
        return ledger.hasSuspects()
                ? ledger.verdict(identity.fingerprint(), nowMillis.getAsLong())
                : CrashVerdict.SERVED;
    }

    private boolean recordRefusal(String tryId, RequestIdentity identity) {
        metrics.count(GatewayMetrics.Event.REFUSED_AS_CRASHING);
        RequestFingerprint request = identity.fingerprint();
        long now = nowMillis.getAsLong();
        Long logged = loggedMillis.get(request);
        if (logged == null || now - logged >= LOG_INTERVAL_MILLIS) {
            loggedMillis.put(request, now);
            DecisionLog.write(
                    new RefusedAsCrashing(tryId, request, ledger.countedEnds(request), now));
        }
        return true;
    }

    /** Records that an upstream ended, or its connection did, while it had a request. */
    void recordEnd(String tryId, RequestIdentity identity, Upstream upstream, long ranMillis) {
        recordEnd(abandoned(tryId, identity, upstream, ranMillis));
        upstreamLost(upstream);
    }

    /** Records that a request was taken back from an upstream, which may end under it yet. */
    void attemptAbandoned(String tryId, RequestIdentity identity, Upstream upstream, long ranMillis) {
        abandoned.add(abandoned(tryId, identity, upstream, ranMillis));
    }

    private CancelledRequest abandoned(
            String tryId, RequestIdentity identity, Upstream upstream, long ranMillis) {
        long now = nowMillis.getAsLong();
        long life = incarnationOf(upstream);
        return new CancelledRequest(
                tryId, identity.fingerprint(), upstream.id(), life, now - ranMillis, now);
    }

    /**
     * Records that an upstream has ended, or seems to: requests that were taken back from it lately
     * had it too.
     */
    void upstreamLost(Upstream upstream) {
        for (CancelledRequest one : abandoned.takeFrom(upstream.id(), nowMillis.getAsLong())) {
            recordEnd(one);
        }
    }

    private void recordEnd(CancelledRequest one) {
        RequestFingerprint request = one.request();
        boolean news =
                ledger.ended(
                        request,
                        one.incarnation(),
                        one.sentMillis(),
                        one.cancelledMillis(),
                        nowMillis.getAsLong());
        DecisionLog.write(
                new UpstreamEnded(
                        one.attemptId(),
                        request,
                        one.upstream(),
                        one.cancelledMillis() - one.sentMillis(),
                        ledger.countedEnds(request).size()));
        if (news) {
            onNewEnd.run();
            notifyIfRefused(request);
        }
    }

    /**
     * Records that an upstream has answered a request, so that it lived when that was sent. An
     * upstream that does not tell when it started may be a later life under the same name.
     */
    void answered(Upstream upstream, long sentMillis) {
        if (ledger.hasSuspects() && upstream.startedMillis() > 0) {
            ledger.observedAlive(incarnationOf(upstream), sentMillis);
        }
    }

    /**
     * Records that an upstream has announced that it leaves, which one that has ended cannot. Three
     * connections that broke to upstreams that left soon after would have a harmless request
     * refused otherwise.
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
     * Records that a request ran whole, which clears it of a single end too: those of several
     * processes would add up otherwise, although it ran whole between them.
     */
    void ranToCompletion(RequestIdentity identity) {
        if (!ledger.isEmpty() && ledger.cleared(identity.fingerprint(), nowMillis.getAsLong())) {
            DecisionLog.write(
                    new Lifecycle("request " + identity.fingerprint(), "cleared", "it ran whole"));
        }
    }

    /** Clears a request because an operator says so; returns false if nothing was known of it. */
    boolean lift(RequestFingerprint request) {
        boolean lifted = ledger.cleared(request, nowMillis.getAsLong());
        if (lifted) {
            DecisionLog.write(new Lifecycle("request " + request, "cleared", "by an operator"));
        }
        return lifted;
    }

    /** Takes over what a peer, or the store, tells. */
    void receiveReport(String source, CrashReport report) {
        if (ledger.received(source, report, nowMillis.getAsLong())) {
            DecisionLog.write(
                    new Lifecycle(
                            "request " + report.request(),
                            "refused from now",
                            report.ends().size() + " ends, told by " + source));
            notifyIfRefused(report.request());
        }
    }

    private void notifyIfRefused(RequestFingerprint request) {
        if (ledger.verdict(request, nowMillis.getAsLong()) == CrashVerdict.REFUSED) {
            onRefused.accept(request);
        }
    }

    /**
     * Looks through what is remembered. To be called every {@link #CHECK_INTERVAL_MILLIS}.
     *
     * @param listed the upstreams that are listed
     * @param sound true if the list is sound: the store answers, and no entries are missing that
     *     may come back
     */
    void check(Collection<Upstream> listed, boolean sound) {
        long now = nowMillis.getAsLong();
        listValidSinceMillis = sound ? Math.min(listValidSinceMillis, now) : Long.MAX_VALUE;
        if (ledger.isEmpty()) {
            return;
        }
        Set<Long> living = new HashSet<>();
        listed.forEach(one -> living.add(incarnationOf(one)));
        ledger.cleanUp(living, Math.min(listValidSinceMillis, now), now);
        metrics.crashing(ledger.refused().size(), ledger.size());
    }
}
