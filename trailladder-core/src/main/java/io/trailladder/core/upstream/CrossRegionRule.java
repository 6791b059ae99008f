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
package io.trailladder.core.upstream;

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.engine.EngineEstimate;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.topology.Distance;
import io.trailladder.core.topology.Topology;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decides when a request may be sent to another region.
 *
 * <p>The own region serves what it can begin within the objective. Another region accepts requests
 * for the slots that remain after it has reserved some for its own callers, and every process of
 * the sending region uses only its share of these. All processes together therefore stay below the
 * free capacity, although each learns of the others' work only from their reports.
 */
final class CrossRegionRule {
    /**
     * Fraction of the time remaining to the objective within which the own region must be expected
     * to begin its answer. The remainder covers what the estimate does not include: work that other
     * processes sent within one digest interval.
     */
    private static final double MAX_LOCAL_FRACTION = 0.8;

    /**
     * Fraction of that time within which another region must be expected to begin its answer, so
     * that a request is not sent over the long distance for an uncertain gain.
     */
    private static final double MAX_REMOTE_FRACTION = 0.5;

    /**
     * Fraction of an upstream's slots that a region reserves for its own callers: a sudden increase
     * of their load by a third finds free slots.
     */
    private static final double RESERVED_SLOT_FRACTION = 0.25;

    /**
     * Fraction of an objective for which prompts from other regions may keep an upstream reading,
     * so that requests of its own callers begin within the remainder. Limiting slots alone is not
     * enough: a burst of three times a region's load then delayed 3 of 100 callers of the other
     * region beyond the objective.
     */
    private static final double REMOTE_READING_FRACTION = 0.25;

    private static final double ROUND_TRIP_MILLIS = 2 * Distance.OTHER_REGION.oneWayMillis();

    /**
     * Number of values that the hash of a request id is reduced to; enough for a uniform fraction.
     */
    private static final double HASH_BUCKETS = 1 << 20;

    private final Topology topology;
    private final UpstreamLoads loads;
    private final IntSupplier processes;

    CrossRegionRule(Topology topology, UpstreamLoads loads, IntSupplier processes) {
        this.topology = topology;
        this.loads = loads;
        this.processes = processes;
    }

    /**
     * Returns whether the best upstream of the own region suffices, so that no other region is
     * considered.
     */
    boolean isLocalSufficient(Candidate local) {
        if (isEjected(local)) {
            return false;
        }
        boolean free = slotWaitMillis(local) == 0;
        if (!local.engine().isLearned() || !isPrompted(local)) {
            return free || firstAnswerMillis(local) <= MAX_LOCAL_FRACTION * remainingMillis(local);
        }
        double remaining = remainingMillis(local);
        return remaining <= 0 || firstAnswerMillis(local) <= MAX_LOCAL_FRACTION * remaining;
    }

    /**
     * Returns whether an upstream of another region has capacity for a request from this region.
     *
     * @param remote the upstream and the request
     * @param noLocalUpstream true if no upstream of the own region accepts requests: then every
     *     free slot may be used too, and a wait for a slot is accepted if the answer still begins
     *     early enough to leave the callers there time
     */
    boolean hasCapacity(Candidate remote, boolean noLocalUpstream) {
        if (!noLocalUpstream) {
            return remote.running() < remoteSlots(remote.upstream());
        }
        double slotWait = slotWaitMillis(remote);
        return slotWait == 0
                || (remote.engine().isLearned()
                        && firstAnswerMillis(remote) + ROUND_TRIP_MILLIS
                                <= MAX_REMOTE_FRACTION * remainingMillis(remote));
    }

    /**
     * Returns whether a request is better sent to another region's upstream than to the local one.
     */
    boolean isRemoteBetter(Candidate local, Candidate remote) {
        if (isEjected(remote)) {
            return false;
        }
        if (isEjected(local)) {
            return true;
        }
        if (!isPrompted(local)) {
            // Learned run times include waiting, so only the wait for a slot can be compared.
            return slotWaitMillis(local) > ROUND_TRIP_MILLIS;
        }
        double remoteMillis = firstAnswerMillis(remote) + ROUND_TRIP_MILLIS;
        return remoteMillis <= MAX_REMOTE_FRACTION * remainingMillis(local)
                && remoteMillis < firstAnswerMillis(local);
    }

    /**
     * Returns whether this process may send one more request to a region: all processes of the own
     * region share the capacity there in equal parts. If a share is below one request, a hash of
     * the request id decides whether the request may use it.
     */
    boolean isWithinShare(Candidate remote, List<Upstream> serving) {
        ServingRequest request = remote.request();
        String region = topology.region(remote.upstream().dataCentre());
        int tokens = Math.max(1, request.prompt().tokensIn());
        double remoteTokens =
                REMOTE_READING_FRACTION
                        * request.route().objectiveMillis()
                        / millisPerToken(remote);
        double slots = 0;
        double prompts = 0;
        int sent = 0;
        int sentTokens = 0;
        for (Upstream upstream : serving) {
            String id = upstream.id();
            if (topology.region(upstream.dataCentre()).equals(region)) {
                slots += Math.max(0, remoteSlots(upstream) - loads.requests(id));
                prompts += Math.max(0, remoteTokens - loads.promptTokens(id)) / tokens;
                sent += loads.ownRequests(id);
                sentTokens += loads.ownPromptTokens(id);
            }
        }
        double hashFraction = hashFraction(request.id());
        return fitsShare(slots, sent, hashFraction)
                && (!isPrompted(remote)
                        || fitsShare(prompts, sentTokens / (double) tokens, hashFraction));
    }

    /** Returns whether one more request is within this process's share of a capacity. */
    private boolean fitsShare(double capacity, double sent, double hashFraction) {
        double share = (capacity + sent) / Math.max(1, processes.getAsInt());
        return share >= 1 ? sent + 1 <= share : sent == 0 && hashFraction < share;
    }

    /**
     * Describes the choice of another region; {@code local} is null if no local upstream accepts
     * requests.
     */
    CrossRegionChoice describe(Candidate local, Candidate remote) {
        return new CrossRegionChoice(
                topology.region(remote.upstream().dataCentre()),
                local == null
                        ? CrossRegionChoice.NO_LOCAL_UPSTREAM
                        : Math.round(firstAnswerMillis(local)),
                Math.round(firstAnswerMillis(remote) + ROUND_TRIP_MILLIS));
    }

    private boolean isEjected(Candidate candidate) {
        return loads.ejected(candidate.upstream().id(), candidate.nowMillis());
    }

    /**
     * Returns the time to the first event of a stream, or to the answer of a request without a
     * prompt.
     */
    private static double firstAnswerMillis(Candidate candidate) {
        EngineEstimate engine = candidate.engine();
        double slotWait = slotWaitMillis(candidate);
        if (!isPrompted(candidate)) {
            return slotWait + engine.runMillis();
        }
        int tokensIn = candidate.request().prompt().tokensIn();
        int uncached = Math.max(0, tokensIn - candidate.cachedTokens());
        double tokensToRead = (double) candidate.waitingTokens() + uncached;
        return slotWait + engine.firstMillis() + tokensToRead * engine.millisPerToken();
    }

    private static double slotWaitMillis(Candidate candidate) {
        return candidate.engine().slotWaitMillis(candidate.running(), candidate.upstream().slots());
    }

    private static boolean isPrompted(Candidate candidate) {
        return candidate.request().prompt().tokensIn() > 0;
    }

    private static double millisPerToken(Candidate candidate) {
        return Math.max(Double.MIN_NORMAL, candidate.engine().millisPerToken());
    }

    private static double remainingMillis(Candidate candidate) {
        ServingRequest request = candidate.request();
        long objective = request.acceptedMillis() + request.route().objectiveMillis();
        return (double) objective - candidate.nowMillis();
    }

    /** Returns how many slots of an upstream are available to other regions. */
    private static double remoteSlots(Upstream upstream) {
        return upstream.slots() * (1 - RESERVED_SLOT_FRACTION);
    }

    private static double hashFraction(String id) {
        long hash = Hashing.xxh3_64().hashCharsToLong(id);
        return Math.floorMod(hash, (long) HASH_BUCKETS) / HASH_BUCKETS;
    }
}
