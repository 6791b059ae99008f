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
 * Tells when a request may be sent to another region.
 *
 * <p>The own region serves what it can begin within the objective. Another one takes what is left
 * of its places once it has kept some for its own callers, and every process of the region takes
 * only its part of these: so all of them together stay below what is free, though none counts the
 * others' work until they have told it.
 */
final class CrossRegionRule {
    /**
     * Part of the time left to the objective within which the own region must be expected to begin.
     * The rest is for what the expectation cannot know: the work that others sent in the time of a
     * digest. Chosen, not measured.
     */
    private static final double MAX_LOCAL_FRACTION = 0.8;

    /**
     * Part of that time within which another region must be expected to begin: a request is not
     * sent the long way for a doubtful gain. Chosen, not measured.
     */
    private static final double MAX_REMOTE_FRACTION = 0.5;

    /**
     * Part of an upstream's places that a region keeps for its own callers: a jump of their load by
     * a third finds places at once. Chosen, not measured.
     */
    private static final double RESERVED_SLOT_FRACTION = 0.25;

    /**
     * Part of an objective that prompts from other regions may have an upstream read for: what its
     * own callers send meanwhile begins within the rest. Chosen; with places alone as the measure a
     * burst of three times a region's load made 3 of 100 callers of the other one late.
     */
    private static final double REMOTE_READING_FRACTION = 0.25;

    private static final double ROUND_TRIP_MILLIS = 2 * Distance.OTHER_REGION.oneWayMillis();

    /** Numbers below this are as good as random for the names of requests. */
    private static final double HASH_BUCKETS = 1 << 20;

    private final Topology topology;
    private final UpstreamLoads loads;
    private final IntSupplier processes;

    CrossRegionRule(Topology topology, UpstreamLoads loads, IntSupplier processes) {
        this.topology = topology;
        this.loads = loads;
        this.processes = processes;
    }

    /** Tells whether the best upstream of the own region is good enough to look no further. */
    boolean isLocalSufficient(Candidate own) {
        if (isEjected(own)) {
            return false;
        }
        boolean free = slotWaitMillis(own) == 0;
        if (!own.engine().isLearned() || !isPrompted(own)) {
            return free || firstAnswerMillis(own) <= MAX_LOCAL_FRACTION * remainingMillis(own);
        }
        double left = remainingMillis(own);
        return left <= 0 || firstAnswerMillis(own) <= MAX_LOCAL_FRACTION * left;
    }

    /**
     * Tells whether an upstream of another region has room for a request from here.
     *
     * @param other the upstream and the request
     * @param noneHere true if no upstream of the own region serves: then every free place is taken
     *     too, and one is waited for so long that the callers there still find it in time
     */
    boolean hasCapacity(Candidate other, boolean noneHere) {
        if (!noneHere) {
            return other.running() < remoteSlots(other.upstream());
        }
        double place = slotWaitMillis(other);
        return place == 0
                || (other.engine().isLearned()
                        && firstAnswerMillis(other) + ROUND_TRIP_MILLIS <= MAX_REMOTE_FRACTION * remainingMillis(other));
    }

    /** Tells whether a request is better sent to another region's upstream than to the own one. */
    boolean isRemoteBetter(Candidate own, Candidate other) {
        if (isEjected(other)) {
            return false;
        }
        if (isEjected(own)) {
            return true;
        }
        if (!isPrompted(own)) {
            // Runs are learned with the time spent waiting, so only what is waited here can tell.
            return slotWaitMillis(own) > ROUND_TRIP_MILLIS;
        }
        double there = firstAnswerMillis(other) + ROUND_TRIP_MILLIS;
        return there <= MAX_REMOTE_FRACTION * remainingMillis(own) && there < firstAnswerMillis(own);
    }

    /**
     * Tells whether this process may send one more request to a region: all processes of the own
     * region share the room there in equal parts. Of parts below one request, requests draw whether
     * they may use it.
     */
    boolean isWithinShare(Candidate other, List<Upstream> serving) {
        ServingRequest request = other.request();
        String region = topology.region(other.upstream().dataCentre());
        int tokens = Math.max(1, request.prompt().tokensIn());
        double lentTokens = REMOTE_READING_FRACTION * request.route().objectiveMillis() / millisPerToken(other);
        double places = 0;
        double readings = 0;
        int sent = 0;
        int sentTokens = 0;
        for (Upstream upstream : serving) {
            String id = upstream.id();
            if (topology.region(upstream.dataCentre()).equals(region)) {
                places += Math.max(0, remoteSlots(upstream) - loads.requests(id));
                readings += Math.max(0, lentTokens - loads.promptTokens(id)) / tokens;
                sent += loads.ownRequests(id);
                sentTokens += loads.ownPromptTokens(id);
            }
        }
        double draw = hashFraction(request.id());
        return fitsShare(places, sent, draw)
                && (!isPrompted(other) || fitsShare(readings, sentTokens / (double) tokens, draw));
    }

    /** Tells whether one more request is within this process's part of a room. */
    private boolean fitsShare(double room, double sent, double draw) {
        double share = (room + sent) / Math.max(1, processes.getAsInt());
        return share >= 1 ? sent + 1 <= share : sent == 0 && draw < share;
    }

    /** Describes a choice of another region; no candidate here if none there serves. */
    CrossRegionChoice describe(Candidate own, Candidate other) {
        return new CrossRegionChoice(
                topology.region(other.upstream().dataCentre()),
                own == null ? CrossRegionChoice.NO_LOCAL_UPSTREAM : Math.round(firstAnswerMillis(own)),
                Math.round(firstAnswerMillis(other) + ROUND_TRIP_MILLIS));
    }

    private boolean isEjected(Candidate candidate) {
        return loads.ejected(candidate.upstream().id(), candidate.nowMillis());
    }

    /** Time to the first event of a stream, or to the answer of a request without a prompt. */
    private static double firstAnswerMillis(Candidate candidate) {
        EngineEstimate engine = candidate.engine();
        double place = slotWaitMillis(candidate);
        if (!isPrompted(candidate)) {
            return place + engine.runMillis();
        }
        int tokensIn = candidate.request().prompt().tokensIn();
        int uncached = Math.max(0, tokensIn - candidate.cachedTokens());
        double toRead = (double) candidate.waitingTokens() + uncached;
        return place + engine.firstMillis() + toRead * engine.millisPerToken();
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

    /** Returns how many places of an upstream other regions may have. */
    private static double remoteSlots(Upstream upstream) {
        return upstream.slots() * (1 - RESERVED_SLOT_FRACTION);
    }

    private static double hashFraction(String id) {
        long hash = Hashing.xxh3_64().hashCharsToLong(id);
        return Math.floorMod(hash, (long) HASH_BUCKETS) / HASH_BUCKETS;
    }
}
