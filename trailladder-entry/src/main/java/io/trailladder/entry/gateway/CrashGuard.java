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
import io.trailladder.core.upstream.Upstream;

/**
 * Reports to {@link CrashWatch} how the attempts of one request end, and stops the request once it
 * is found to end upstreams.
 */
final class CrashGuard {
    /**
     * Time that an upstream must have been answering a request to show that no part of its prompt
     * ends upstreams, in milliseconds.
     */
    private static final long SURVIVAL_MILLIS = 500;

    private final ServingContext context;
    private final String tryId;
    private final RequestIdentity identity;
    private boolean stopped;
    private Attempt survivor;
    private boolean endedUpstream;

    CrashGuard(ServingContext context, String tryId, RequestIdentity identity) {
        this.context = context;
        this.tryId = tryId;
        this.identity = identity;
    }

    /**
     * Returns whether it must be known if the upstream of a failed attempt is still there, before
     * the failure is recorded.
     */
    boolean needsCheck(Attempt attempt, AttemptFailure failure) {
        return failure == AttemptFailure.BROKEN && mayHaveEnded(attempt.upstream(), failure);
    }

    /** Records how an attempt failed. */
    void failed(Attempt attempt, AttemptFailure failure) {
        Upstream upstream = attempt.upstream();
        CrashWatch crashes = context.crashes();
        boolean ended = failure != AttemptFailure.UNREACHABLE && mayHaveEnded(upstream, failure);
        endedUpstream = ended && !hasSurvived(attempt);
        if (failure == AttemptFailure.UNREACHABLE) {
            crashes.upstreamLost(upstream);
        } else if (endedUpstream) {
            crashes.recordEnd(tryId, identity, upstream, attempt.ageMillis());
        } else if (ended) {
            crashes.recordEndWhileAnswering(tryId, identity, upstream, attempt.ageMillis());
        }
    }

    /** Records that an attempt brings events of its answer. */
    void answering(Attempt attempt) {
        if (survivor != attempt && hasSurvived(attempt)) {
            survivor = attempt;
            context.crashes().survived(identity);
        }
    }

    private static boolean hasSurvived(Attempt attempt) {
        return attempt.answeringMillis() >= SURVIVAL_MILLIS;
    }

    /** Records that an attempt was abandoned, so that its outcome is not known. */
    void attemptAbandoned(Attempt attempt) {
        if (attempt.isSent()) {
            context.crashes()
                    .attemptAbandoned(
                            tryId,
                            identity,
                            attempt.upstream(),
                            attempt.ageMillis(),
                            hasSurvived(attempt));
        }
    }

    /**
     * Returns whether a failure may be due to the upstream's end: an upstream that ends breaks its
     * connections, or does not respond and is soon no longer listed. One that has announced that it
     * leaves does not end because of the requests it runs.
     */
    private boolean mayHaveEnded(Upstream upstream, AttemptFailure failure) {
        boolean unlisted = context.directory().find(upstream.id()).isEmpty();
        boolean ended =
                failure == AttemptFailure.BROKEN || (failure == AttemptFailure.SILENT && unlisted);
        return ended && !context.directory().isLeaving(upstream.id());
    }

    void ranToCompletion() {
        context.crashes().ranToCompletion(identity);
    }

    /** Returns whether the request must not be sent again, by the ends known so far. */
    boolean refusesRetry() {
        stopped |= context.crashes().refusesRetry(tryId, identity, endedUpstream);
        return stopped;
    }

    /**
     * Stops the request if it is the one that was found to end upstreams; returns whether it is
     * stopped.
     */
    boolean stopIfSame(RequestTrait found, Attempt attempt) {
        boolean survives = found.isPart() && attempt != null && hasSurvived(attempt);
        stopped |= !survives && identity.has(found);
        return stopped;
    }

    /** Returns whether the request was stopped. */
    boolean hasStopped() {
        return stopped;
    }
}
