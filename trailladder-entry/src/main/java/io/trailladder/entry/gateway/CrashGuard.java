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
import io.trailladder.core.upstream.Upstream;

/** Tells the watch how one request fares at upstreams, and stops it where it ends them. */
final class CrashGuard {
    private final ServingContext context;
    private final String tryId;
    private final RequestIdentity identity;
    private boolean stopped;

    CrashGuard(ServingContext context, String tryId, RequestIdentity identity) {
        this.context = context;
        this.tryId = tryId;
        this.identity = identity;
    }

    /** Takes over how an attempt failed. */
    void failed(Attempt attempt, AttemptFailure failure) {
        Upstream upstream = attempt.upstream();
        if (failure == AttemptFailure.UNREACHABLE) {
            context.crashes().upstreamLost(upstream);
        } else if (mayHaveEnded(upstream, failure)) {
            context.crashes().recordEnd(tryId, identity, upstream, attempt.ageMillis());
        }
    }

    /** Takes over that an attempt is broken off whose outcome is not known. */
    void attemptAbandoned(Attempt attempt) {
        if (attempt.isSent()) {
            context.crashes().attemptAbandoned(tryId, identity, attempt.upstream(), attempt.ageMillis());
        }
    }

    /**
     * An upstream that ends breaks its connections, or is silent and soon not listed any more. One
     * that has announced its leaving does not end because of what runs there.
     */
    private boolean mayHaveEnded(Upstream upstream, AttemptFailure failure) {
        boolean gone = context.directory().find(upstream.id()).isEmpty();
        boolean ended =
                failure == AttemptFailure.BROKEN || (failure == AttemptFailure.SILENT && gone);
        return ended && !context.directory().isLeaving(upstream.id());
    }

    void ranToCompletion() {
        context.crashes().ranToCompletion(identity);
    }

    /** Tells whether the request is not to be sent again, by what is known by now. */
    boolean refusesRetry() {
        stopped |= context.crashes().refusesRetry(tryId, identity);
        return stopped;
    }

    /** Tells whether this is a request that was found to end upstreams; it is stopped then. */
    boolean stopIfSame(RequestFingerprint found) {
        stopped |= identity.fingerprint().equals(found);
        return stopped;
    }

    /** Tells whether the request was stopped here. */
    boolean hasStopped() {
        return stopped;
    }
}
