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
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.rollout.VersionGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Chooses the upstream of a service with the lowest predicted time to its first answer.
 *
 * <p>The prediction counts the work under way of all entries, the part of the prompt that the
 * upstream does not hold, and the way to another data centre. A prompt whose parts nobody has read
 * yet is drawn to the same upstream by every entry, by rendezvous hashing. The work that a choice
 * adds counts more than once, because it delays what comes after.
 *
 * @since 0.2
 */
public final class UpstreamSelector {
    /** What another data centre counts for, in milliseconds: four times the way there and back. */
    private static final double OTHER_DATA_CENTRE_MILLIS = 4;

    /** What each kilobyte sent there counts for, in milliseconds: bytes between them are dear. */
    private static final double OTHER_DATA_CENTRE_MILLIS_PER_KB = 0.5;

    /** Part of a prompt's shared tokens that its first and second home are trusted to hold. */
    private static final double[] HOME_TRUST = {0.9, 0.45};

    /** How often the request's own reading counts: it delays itself and what comes after. */
    private static final double WORK_WEIGHT = 2;

    /**
     * What an upstream counts that fails all of its requests, in milliseconds: a usual objective.
     */
    private static final double FAILING_MILLIS = 400;

    /** How long a data centre is avoided after a connection there failed, in milliseconds. */
    private static final long SUSPECT_MILLIS = 1_500;

    /** What an upstream of such a data centre counts, in milliseconds: more than any objective. */
    private static final double SUSPECT_PENALTY_MILLIS = 600;

    /** Most parts of prompts whose places are remembered: some 2 MB. */
    private static final int REMEMBERED_PARTS = 20_000;

    private static final double BYTES_PER_KB = 1024;

    private final String dataCentre;
    private final UpstreamDirectory directory;
    private final UpstreamLoads loads;
    private final EngineModel engines;
    private final VersionGate versions;
    private final Map<String, Long> suspectUntilMillis = new HashMap<>();
    private final PrefixIndex prefixes = new PrefixIndex(REMEMBERED_PARTS);

    /**
     * Creates a selector of upstreams of any version.
     *
     * @param dataCentre the data centre of this entry
     * @param directory the upstreams known
     * @param loads the work under way at them
     * @param engines what is believed of their speed
     */
    public UpstreamSelector(
            String dataCentre,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            EngineModel engines) {
        this(dataCentre, directory, loads, engines, new VersionGate());
    }

    /**
     * Creates a selector.
     *
     * @param dataCentre the data centre of this entry
     * @param directory the upstreams known
     * @param loads the work under way at them
     * @param engines what is believed of their speed
     * @param versions decides which versions may be chosen
     */
    public UpstreamSelector(
            String dataCentre,
            UpstreamDirectory directory,
            UpstreamLoads loads,
            EngineModel engines,
            VersionGate versions) {
        this.versions = versions;
        this.dataCentre = dataCentre;
        this.directory = directory;
        this.loads = loads;
        this.engines = engines;
    }

    /**
     * Chooses an upstream. Those left out for their failures are taken only if there is no other.
     *
     * @param request the request
     * @param excluded upstreams that must not be chosen
     * @param nowMillis the time
     * @return the choice; empty if no upstream of the service takes new work
     */
    public Optional<Selection> choose(
            ServingRequest request, Set<String> excluded, long nowMillis) {
        String service = request.service();
        List<Upstream> serving =
                versions.admitted(
                        service, directory.serving(service), excluded.isEmpty(), nowMillis);
        Selection best = null;
        boolean bestEjected = true;
        List<String> homes = homes(serving, request.prompt());
        EngineEstimate engine = engines.estimate(request.service(), nowMillis);
        for (Upstream upstream : serving) {
            if (excluded.contains(upstream.id())) {
                continue;
            }
            boolean ejected = loads.ejected(upstream.id(), nowMillis);
            Selection candidate =
                    weigh(upstream, request, engine, homes, serving.size(), nowMillis);
            boolean better = best == null || candidate.predictedMillis() < best.predictedMillis();
            if ((bestEjected && !ejected) || (bestEjected == ejected && better)) {
                best = candidate;
                bestEjected = ejected;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Records that a request was sent as chosen.
     *
     * @param request the request
     * @param upstream the upstream's name
     */
    public void sent(ServingRequest request, String upstream) {
        prefixes.read(upstream, request.prompt());
    }

    /**
     * Records that no connection to an upstream came about. For a while the others of its data
     * centre are taken only if they promise much more than those elsewhere, since the way there may
     * be cut.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     */
    public void unreachable(Upstream upstream, long nowMillis) {
        if (!upstream.dataCentre().equals(dataCentre)) {
            suspectUntilMillis.put(upstream.dataCentre(), nowMillis + SUSPECT_MILLIS);
        }
    }

    private Selection weigh(
            Upstream upstream,
            ServingRequest request,
            EngineEstimate engine,
            List<String> homes,
            int candidates,
            long nowMillis) {
        Prompt prompt = request.prompt();
        int running = loads.requests(upstream.id());
        int waiting = loads.promptTokens(upstream.id());
        int cached = cachedTokens(upstream, prompt, homes);
        double millis = distanceMillis(upstream, request);
        millis += loads.failedPart(upstream.id()) * FAILING_MILLIS;
        if (suspectUntilMillis.getOrDefault(upstream.dataCentre(), nowMillis) > nowMillis) {
            millis += SUSPECT_PENALTY_MILLIS;
        }
        if (prompt.tokensIn() > 0) {
            double toRead = waiting + WORK_WEIGHT * Math.max(0, prompt.tokensIn() - cached);
            millis += engine.firstMillis() + toRead * engine.millisPerToken();
            millis += running * engine.pauseMillisPerRequest();
            millis += engine.placeMillis(running, upstream.slots());
        } else {
            double perSlot = (running + 1.0) / Math.max(1, upstream.slots());
            millis += engine.runMillis() * perSlot;
        }
        double place = engine.isLearned() ? engine.placeMillis(running, upstream.slots()) : 0;
        return new Selection(
                upstream, millis, running, waiting, cached, candidates, Math.round(place));
    }

    private double distanceMillis(Upstream upstream, ServingRequest request) {
        if (upstream.dataCentre().equals(dataCentre)) {
            return 0;
        }
        return OTHER_DATA_CENTRE_MILLIS
                + OTHER_DATA_CENTRE_MILLIS_PER_KB * request.bodyBytes() / BYTES_PER_KB;
    }

    private int cachedTokens(Upstream upstream, Prompt prompt, List<String> homes) {
        int known = prefixes.cachedTokens(upstream.id(), prompt);
        int rank = homes.indexOf(upstream.id());
        if (rank < 0 || rank >= HOME_TRUST.length) {
            return known;
        }
        return Math.max(known, (int) (sharedTokens(prompt) * HOME_TRUST[rank]));
    }

    private static int sharedTokens(Prompt prompt) {
        List<PromptBlock> blocks = prompt.blocks();
        int tokens = 0;
        for (int i = 0; i + 1 < blocks.size(); i++) {
            tokens += blocks.get(i).tokens();
        }
        return tokens;
    }

    /** The upstreams that every entry draws a subject to, the first choice first. */
    private static List<String> homes(List<Upstream> serving, Prompt prompt) {
        String subject = prompt.subject();
        if (subject.isEmpty()) {
            return List.of();
        }
        long subjectHash = Hashing.xxh3_64().hashCharsToLong(subject);
        Upstream first = null;
        Upstream second = null;
        long firstRank = 0;
        long secondRank = 0;
        for (Upstream upstream : serving) {
            long rank = rank(subjectHash, upstream);
            if (first == null || rank < firstRank) {
                second = first;
                secondRank = firstRank;
                first = upstream;
                firstRank = rank;
            } else if (second == null || rank < secondRank) {
                second = upstream;
                secondRank = rank;
            }
        }
        return Stream.of(first, second).filter(Objects::nonNull).map(Upstream::id).toList();
    }

    /** A number that is as good as random for each pair of a subject and an upstream. */
    private static long rank(long subjectHash, Upstream upstream) {
        return Hashing.komihash5_0().hashLongLongToLong(subjectHash, upstream.id().hashCode());
    }
}
