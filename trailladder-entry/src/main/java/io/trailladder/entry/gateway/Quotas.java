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

import io.trailladder.core.limit.QuotaBucket;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.core.policy.TenantSpec;
import io.trailladder.wire.NodeMessage.TenantUse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tenants' limits over all processes.
 *
 * @since 0.2
 */
public final class Quotas {
    private static final double FILLED_AFTER_RESTART = 0.6;
    private static final double TOLERANCE_USED = 0.4;

    private final boolean firstStart;
    private final GatewaySettings.Tolerance tolerance;
    private final Map<String, QuotaBucket> buckets = new HashMap<>();
    private final Map<String, Double> seenOfPeers = new HashMap<>();

    /**
     * Creates limits of no tenants.
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
    public void policy(ServingPolicy policy, long nowMillis) {
        for (TenantSpec tenant : policy.tenants()) {
            RateSpec limit = lenient(tenant.limit());
            QuotaBucket known = buckets.get(tenant.name());
            if (known == null) {
                double level = firstStart ? limit.burst() : levelAfterRestart(limit);
                buckets.put(tenant.name(), new QuotaBucket(limit, level, nowMillis));
            } else {
                known.limit(limit, nowMillis);
            }
        }
        buckets.keySet().removeIf(name -> policy.tenants().stream().noneMatch(named(name)));
    }

    /**
     * Takes a request's units from its tenant's limit.
     *
     * @param tenant the tenant
     * @param units the request's size
     * @param nowMillis the time
     * @return 0 if the request may go on, else milliseconds until asking again may help
     */
    public long tryTake(String tenant, double units, long nowMillis) {
        QuotaBucket bucket = buckets.get(tenant);
        return bucket == null ? 0 : bucket.tryTake(units, nowMillis);
    }

    /**
     * Gives units back that were not used.
     *
     * @param tenant the tenant
     * @param units the request's size
     */
    public void giveBack(String tenant, double units) {
        QuotaBucket bucket = buckets.get(tenant);
        if (bucket != null) {
            bucket.giveBack(units);
        }
    }

    /**
     * Takes over what a peer has let pass.
     *
     * @param peerLife names the life of the peer
     * @param uses what it let pass since its start
     * @param nowMillis the time
     */
    public void peerUsed(String peerLife, List<TenantUse> uses, long nowMillis) {
        for (TenantUse use : uses) {
            QuotaBucket bucket = buckets.get(use.tenant());
            if (bucket == null) {
                continue;
            }
            Double before = seenOfPeers.put(peerLife + '/' + use.tenant(), use.used());
            if (before == null) {
                bucket.atMost(use.level(), nowMillis);
            } else {
                bucket.takenByPeers(use.used() - before, nowMillis);
            }
        }
    }

    /**
     * Sets the part of every limit that the processes share that hear one another.
     *
     * @param part from 0 to 1
     * @param nowMillis the time
     */
    public void sharedPart(double part, long nowMillis) {
        buckets.values().forEach(bucket -> bucket.sharedPart(part, nowMillis));
    }

    /**
     * Returns what this process has let pass, to be told to its peers.
     *
     * @param nowMillis the time
     * @return its use of limited tenants
     */
    public List<TenantUse> uses(long nowMillis) {
        List<TenantUse> uses = new ArrayList<>();
        buckets.forEach(
                (name, bucket) ->
                        uses.add(new TenantUse(name, bucket.used(), bucket.level(nowMillis))));
        return uses;
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

    /** Nobody may know what was used before all processes restarted at once, perhaps twice. */
    private static double levelAfterRestart(RateSpec limit) {
        return Math.min(limit.perSecond(), limit.burst() * FILLED_AFTER_RESTART);
    }

    /**
     * Uses a part of the tolerance, so that what peers tell late refuses nobody within the limit.
     */
    private RateSpec lenient(RateSpec limit) {
        if (!limit.limited()) {
            return limit;
        }
        return new RateSpec(
                limit.perSecond() * (1 + TOLERANCE_USED * tolerance.ratio()),
                limit.burst() + TOLERANCE_USED * tolerance.units(),
                limit.inTokens(),
                limit.unsizedTokens());
    }

    private static java.util.function.Predicate<TenantSpec> named(String name) {
        return tenant -> tenant.name().equals(name);
    }
}
