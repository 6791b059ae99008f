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

import io.trailladder.core.duty.LeaderElection;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.entry.port.StoreWrite;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Keeps fencing tokens rising where revisions alone do not: the highest one is recorded in the
 * store while it is above the revisions, for the case that all processes that know it are lost. If
 * the store came back without the record as well, the platform refuses the leader's calls, and its
 * token is raised until it is high enough.
 */
final class LeaderTokens {
    /** Where the highest token is recorded. */
    static final String KEY = "trailladder/record/token";

    /**
     * By how much a token is raised first; each further time by twice as much. The revisions of a
     * copy some seconds old are made up for in a few steps, and the store counts past the token
     * again in about the time that was lost, so that older builds can lead as well.
     */
    private static final long FIRST_RAISE_STEP = 1_000;

    private static final int MAX_DOUBLINGS = 10;

    private final CoordinationStore store;
    private final StoreHealth health;
    private final LeaderElection election;
    private final SplittableRandom random;
    private long revision;
    private int raises;

    LeaderTokens(
            CoordinationStore store,
            StoreHealth health,
            LeaderElection election,
            SplittableRandom random) {
        this.store = store;
        this.health = health;
        this.election = election;
        this.random = random;
        health.history().onReplaced(() -> revision = 0);
    }

    /** Reads the record, then goes on, whether or not it could be read. */
    void read(Runnable then) {
        store.read(
                KEY,
                result -> {
                    apply(result);
                    then.run();
                });
    }

    private void apply(Either<StoreFailure, StoreItem> result) {
        if (result.isLeft()) {
            health.failed(result.getLeft());
            return;
        }
        health.answered();
        revision = result.get().removed() ? 0 : result.get().revision();
        if (!result.get().removed()) {
            String text = new String(result.get().value(), StandardCharsets.US_ASCII);
            election.tokenSeen(LeaderKey.parseToken(text));
        }
    }

    /** Records the token of this process's leadership if revisions do not tell it. */
    void leadershipClaimed(long made) {
        raises = 0;
        if (election.token() > made) {
            record();
        }
    }

    /** Takes a higher token: the platform has seen one above this leader's. */
    void raise() {
        long before = election.token();
        long step = FIRST_RAISE_STEP << Math.min(raises, MAX_DOUBLINGS);
        raises++;
        // drawn, so that two leaders which know nothing of each other do not take the same
        election.raiseToken(before + step + random.nextLong(step));
        DecisionLog.write(
                new Lifecycle("token", "raised", "from " + before + " to " + election.token()));
        record();
    }

    private void record() {
        byte[] value = Long.toString(election.token()).getBytes(StandardCharsets.US_ASCII);
        store.write(
                new StoreWrite(KEY, value, revision, 0),
                result -> {
                    if (result.isRight()) {
                        health.answered();
                        revision = result.get();
                    } else {
                        health.failed(result.getLeft());
                    }
                });
    }
}
