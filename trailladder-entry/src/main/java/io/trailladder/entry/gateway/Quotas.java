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
import io.trailladder.core.limit.QuotaBucket;
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.wire.NodeMessage.OrganisationUse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;

/**
 * The organisations' limits over all processes.
 *
 * @since 0.2
 */
public final class Quotas {
    private static final double RESTART_LEVEL_RATIO = 0.6;

    /**
     * Part of the tolerance that is used, so that what peers tell late refuses nobody within the
     * limit. The rest is for processes that hear nobody.
     */
    private static final double TOLERANCE_RATIO = 0.1;

    /**
     * Part of an organisation's burst that a process lets pass before it tells its peers out of
     * turn. Each process grants from what it knows, so that together they let pass what is asked
     * between two digests.
     */
    private static final double EARLY_REPORT_RATIO = 0.05;

    /**
     * Most bursts that a process lets pass between two digests: what was saved, and the tolerance.
     */
    private static final double MAX_BURSTS_PER_DIGEST = 2;

    private static final int MAX_REMEMBERED_USES = 50_000;

    private final boolean firstStart;
    private final GatewaySettings.Tolerance tolerance;
    private final Map<String, QuotaBucket> buckets = new HashMap<>();
    private Runnable onMuchUnreported = () -> {};

    /** What was told last, by life and organisation; lives of processes long gone fall out. */
    private final Map<String, Double> lastReported = new RecentMap<>(MAX_REMEMBERED_USES);

    /**
     * Lives that have told of their use before, so that what they do not name is used for nothing.
     */
    private final Set<String> knownIncarnations = Collections.newSetFromMap(new RecentMap<>(MAX_REMEMBERED_USES));

    private final Map<String, Double> usedByLeaf = new RecentMap<>(MAX_REMEMBERED_USES);
    private final Map<String, Double> reportedByThis = new HashMap<>();

    /** What other regions have let pass, by organisation. */
    private final Map<String, Double> usedByOtherRegions = new HashMap<>();

    /** What is told of one organisation: all units, and the part that was told before. */
    private record Told(double used, double reportedBefore) {
        static Told allReportedBefore(double used) {
            return new Told(used, used);
        }
    }

    /**
     * Creates limits of no organisations.
     *
     * @param firstStart true if nothing was served before
     * @param tolerance how far limits may be overshot
     */
    public Quotas(boolean firstStart, GatewaySettings.Tolerance tolerance) {
        this.firstStart = firstStart;
        this.tolerance = tolerance;
    }

    /**
     * Takes the limits of a policy over.
     *
     * @param policy the policy
     * @param nowMillis the time
     */
    public void applyPolicy(ServingPolicy policy, long nowMillis) {
        for (OrganisationSpec organisation : policy.organisations()) {
            RateSpec limit = withTolerance(organisation.limit());
            QuotaBucket known = buckets.get(organisation.name());
            if (known == null) {
                double level = firstStart ? limit.burst() : levelAfterRestart(limit);
                buckets.put(organisation.name(), new QuotaBucket(limit, level, nowMillis));
            } else {
                known.limit(limit, nowMillis);
            }
        }
        buckets.keySet().removeIf(name -> policy.organisations().stream().noneMatch(named(name)));
    }

    /**
     * Takes a request's units from its organisation's limit.
     *
     * @param organisation the organisation
     * @param units the request's size
     * @param nowMillis the time
     * @return 0 if the request may go on, else milliseconds until asking again may help
     */
    public long tryTake(String organisation, double units, long nowMillis) {
        QuotaBucket bucket = buckets.get(organisation);
        if (bucket == null) {
            return 0;
        }
        long wait = bucket.tryTake(units, nowMillis);
        if (wait == 0 && bucket.isLargePart(unreported(organisation, bucket), EARLY_REPORT_RATIO)) {
            onMuchUnreported.run();
        }
        return wait;
    }

    /**
     * Has somebody told whenever this process has let much pass that its peers do not know of.
     *
     * @param told runs then, with each further request until peers are told
     */
    public void onMuchUnreported(Runnable told) {
        onMuchUnreported = told;
    }

    private double unreported(String organisation, QuotaBucket bucket) {
        return bucket.used() - reportedByThis.getOrDefault(organisation, 0.0);
    }

    /**
     * Gives units back that were not used.
     *
     * @param organisation the organisation
     * @param units the request's size
     */
    public void returnUnits(String organisation, double units) {
        QuotaBucket bucket = buckets.get(organisation);
        if (bucket != null) {
            bucket.returnUnits(units);
        }
    }

    /**
     * Has the next message of a process count as its first one: what it has let pass since the last
     * one that was heard has come by another way, or its part of the limit was left to it.
     *
     * @param life names the life of the process
     */
    public void resetIncarnation(String life) {
        lastReported.keySet().removeIf(key -> key.startsWith(life + '/'));
        knownIncarnations.remove(life);
    }

    /**
     * Takes over what peers have let pass. A first message of a life tells no increase, but the
     * level. What later ones name for the first time was used since, as uses of nothing are not
     * told.
     *
     * @param life names the life of the peer that tells it
     * @param uses what was let pass since that life began
     * @param nowMillis the time
     */
    public void recordPeerUse(String life, List<OrganisationUse> uses, long nowMillis) {
        for (OrganisationUse use : uses) {
            recordPeerUse(life, use, nowMillis);
        }
        knownIncarnations.add(life);
    }

    /**
     * Takes over what the processes of another region have let pass.
     *
     * @param life names the life of the process that tells it
     * @param uses what was let pass since that life began
     * @param nowMillis the time
     */
    public void recordRegionUse(String life, List<OrganisationUse> uses, long nowMillis) {
        for (OrganisationUse use : uses) {
            double units = recordPeerUse(life, use, nowMillis);
            usedByOtherRegions.merge(use.organisation(), units, Double::sum);
        }
        knownIncarnations.add(life);
    }

    private double recordPeerUse(String life, OrganisationUse use, long nowMillis) {
        QuotaBucket bucket = buckets.get(use.organisation());
        if (bucket == null) {
            return 0;
        }
        if (!lastReported.containsKey(key(life, use))) {
            if (isFirstUse(life, use, bucket)) {
                lastReported.put(key(life, use), 0.0);
            } else {
                bucket.capLevel(use.level(), nowMillis);
            }
        }
        double units = increase(life, use);
        bucket.takenByPeers(units, nowMillis);
        return units;
    }

    /**
     * More than the limit gives at once was used for longer, and its figure has fallen out here.
     */
    private boolean isFirstUse(String life, OrganisationUse use, QuotaBucket bucket) {
        return knownIncarnations.contains(life) && !bucket.isLargePart(use.used(), MAX_BURSTS_PER_DIGEST);
    }

    /**
     * Takes over what a process has let pass that relies on this one to tell the others.
     *
     * @param life names the life of that process
     * @param uses what it let pass since its start
     * @param nowMillis the time
     */
    public void recordLeafUse(String life, List<OrganisationUse> uses, long nowMillis) {
        for (OrganisationUse use : uses) {
            QuotaBucket bucket = buckets.get(use.organisation());
            if (bucket != null) {
                double units = increase(life, use);
                bucket.takenByLeaf(units, nowMillis);
                usedByLeaf.merge(key(life, use), units, Double::sum);
            }
        }
    }

    /**
     * Sets the part of every limit that the processes share that hear one another.
     *
     * @param part above 0, at most 1
     * @param nowMillis the time
     */
    public void sharedPart(double part, long nowMillis) {
        buckets.values().forEach(bucket -> bucket.sharedPart(part, nowMillis));
    }

    /**
     * Has limits used as far as the others leave them if they go on as they last did.
     *
     * @param part the least part of each that is this process's own, above 0, at most 1
     * @param nowMillis the time
     */
    public void assumeOthersContinue(double part, long nowMillis) {
        buckets.values().forEach(bucket -> bucket.assumeOthersActive(part, nowMillis));
    }

    /**
     * Tells that others are heard again that were taken to go on.
     *
     * @param nowMillis the time
     */
    public void othersReceivedAgain(long nowMillis) {
        buckets.values().forEach(bucket -> bucket.othersWereActive(nowMillis));
    }

    /**
     * Returns what this process has let pass, to be told to the hub it relies on.
     *
     * @param nowMillis the time
     * @return its use of limited organisations
     */
    public List<OrganisationUse> ownUses(long nowMillis) {
        return uses(
                nowMillis,
                (name, bucket) -> {
                    Double before = reportedByThis.put(name, bucket.used());
                    return new Told(bucket.used(), before == null ? 0 : before);
                });
    }

    /**
     * Returns what this process, and those that rely on it, have let pass.
     *
     * @param nowMillis the time
     * @return their use of limited organisations
     */
    public List<OrganisationUse> groupUses(long nowMillis) {
        return uses(
                nowMillis,
                (name, bucket) -> {
                    reportedByThis.put(name, bucket.used());
                    return Told.allReportedBefore(bucket.usedByGroup());
                });
    }

    /**
     * Returns what the processes of the own region have let pass, to be told to other regions.
     *
     * @param nowMillis the time
     * @return their use of limited organisations
     */
    public List<OrganisationUse> regionUses(long nowMillis) {
        return uses(
                nowMillis,
                (name, bucket) -> Told.allReportedBefore(bucket.usedByAll() - usedByOtherRegions.getOrDefault(name, 0.0)));
    }

    /**
     * Returns what all processes have let pass but one that relies on this process.
     *
     * @param leafLife names the life of that one
     * @param nowMillis the time
     * @return the use of limited organisations
     */
    public List<OrganisationUse> usesWithoutLeaf(String leafLife, long nowMillis) {
        return uses(
                nowMillis,
                (name, bucket) -> {
                    double ofLeaf = usedByLeaf.getOrDefault(leafLife + '/' + name, 0.0);
                    return Told.allReportedBefore(bucket.usedByAll() - ofLeaf);
                });
    }

    /**
     * Computes the size of a request in a limit's units.
     *
     * @param limit the limit
     * @param tokensIn tokens of its prompt; 0 if not told
     * @param tokensOut most tokens that come out
     * @return units
     */
    public static int size(RateSpec limit, int tokensIn, int tokensOut) {
        if (!limit.inTokens()) {
            return 1;
        }
        int tokens = tokensIn + tokensOut;
        return tokens > 0 ? tokens : limit.unsizedTokens();
    }

    private double increase(String life, OrganisationUse use) {
        Double before = lastReported.put(key(life, use), use.used());
        return use.used() - (before == null ? use.toldBefore() : before);
    }

    private static String key(String life, OrganisationUse use) {
        return life + '/' + use.organisation();
    }

    private List<OrganisationUse> uses(
            long nowMillis, BiFunction<String, QuotaBucket, Told> figures) {
        List<OrganisationUse> uses = new ArrayList<>();
        buckets.forEach(
                (name, bucket) -> {
                    Told figure = figures.apply(name, bucket);
                    uses.add(
                            new OrganisationUse(
                                    name,
                                    figure.used(),
                                    figure.reportedBefore(),
                                    bucket.totalLevel(nowMillis)));
                });
        return uses;
    }

    /** Nobody may know what was used before all processes restarted at once, perhaps twice. */
    private static double levelAfterRestart(RateSpec limit) {
        return Math.min(limit.perSecond(), limit.burst() * RESTART_LEVEL_RATIO);
    }

    /** Uses a part of the tolerance. */
    private RateSpec withTolerance(RateSpec limit) {
        if (!limit.limited()) {
            return limit;
        }
        return new RateSpec(
                limit.perSecond() * (1 + TOLERANCE_RATIO * tolerance.ratio()),
                limit.burst() + TOLERANCE_RATIO * tolerance.units(),
                limit.inTokens(),
                limit.unsizedTokens());
    }

    private static Predicate<OrganisationSpec> named(String name) {
        return organisation -> organisation.name().equals(name);
    }
}
