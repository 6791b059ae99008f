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

import io.trailladder.core.limit.LimitAccount;
import io.trailladder.core.limit.UnitQueue;
import io.trailladder.core.limit.UnitQueue.Demand;
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.ServingPolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The rate limits of organisations, shared by all processes.
 *
 * @since 0.2
 */
public final class Quotas {
    /**
     * Part of the relative tolerance by which the rate is raised, so that rounding and units lost
     * between processes do not cause refusals within the limit.
     */
    private static final double RATE_TOLERANCE_RATIO = 0.1;

    /** Part of the absolute tolerance that is added to the burst. */
    private static final double BURST_TOLERANCE_RATIO = 0.4;

    /** Part of the absolute tolerance up to which a request above the burst gets credit. */
    private static final double CREDIT_TOLERANCE_RATIO = 0.5;

    /** Part of the burst that is added to it. */
    private static final double CREDIT_BURST_RATIO = 0.3;

    private static final UnitQueue.Supplier NO_SUPPLIER = new NoSupplier();

    private final boolean firstStart;
    private final GatewaySettings.Tolerance tolerance;
    private final LimitUseLog log;
    private final Map<String, Limit> limits = new TreeMap<>();

    /** Organisations of the first policy that have not received their unused burst yet. */
    private final Set<String> unused = new HashSet<>();

    private Function<String, UnitQueue.Supplier> suppliers = organisation -> NO_SUPPLIER;
    private Runnable onWaiting = () -> {};
    private Runnable onPolicy = () -> {};

    /** The result of a request for units. */
    interface Outcome {
        /** The request is admitted. */
        void admitted();

        /**
         * The request is refused.
         *
         * @param retryAfterMillis the time after which a retry may succeed, in milliseconds; at
         *     least 1
         */
        void refused(long retryAfterMillis);

        /**
         * The limit was taken away while the request waited. It has taken no units, and has to be
         * admitted anew under the policy in force.
         */
        void withdrawn();
    }

    /** The limit of one organisation. */
    private record Limit(LimitAccount account, UnitQueue queue) {}

    /**
     * Creates quotas without organisations.
     *
     * @param firstStart true if nothing was served before, so that limits are unused
     * @param tolerance how far limits may be exceeded
     * @param log records what is admitted
     */
    Quotas(boolean firstStart, GatewaySettings.Tolerance tolerance, LimitUseLog log) {
        this.firstStart = firstStart;
        this.tolerance = tolerance;
        this.log = log;
    }

    /**
     * Sets where units are requested.
     *
     * @param byOrganisation returns the supplier of an organisation's units
     * @param waiting runs when a request begins to wait for units
     */
    void suppliers(Function<String, UnitQueue.Supplier> byOrganisation, Runnable waiting) {
        suppliers = byOrganisation;
        onWaiting = waiting;
    }

    /** Sets what runs when the limits of a policy were applied, before any request meets them. */
    void onPolicy(Runnable applied) {
        onPolicy = applied;
    }

    /**
     * Applies the limits of a policy. The units of a new limit accrue from now on, since other
     * processes may have spent all that accrued before, unless nothing was served before. Requests
     * that wait for units of a limit that is no longer there are told.
     *
     * @param policy the policy
     * @param nowMillis the current time, in milliseconds
     */
    public void applyPolicy(ServingPolicy policy, long nowMillis) {
        Map<String, RateSpec> specs = new HashMap<>();
        for (OrganisationSpec organisation : policy.organisations()) {
            specs.put(organisation.name(), withTolerance(organisation.limit()));
        }
        if (firstStart && limits.isEmpty()) {
            unused.addAll(specs.keySet());
        }
        List<Limit> removed = new ArrayList<>();
        for (String name : List.copyOf(limits.keySet())) {
            if (!specs.containsKey(name) || isInOtherUnits(name, specs.get(name))) {
                removed.add(limits.remove(name));
            }
        }
        specs.forEach((name, spec) -> applyLimit(name, spec, nowMillis));
        onPolicy.run();
        // requests that are admitted anew find all limits of the policy
        removed.forEach(limit -> limit.queue().close());
    }

    private boolean isInOtherUnits(String name, RateSpec spec) {
        LimitAccount account = limits.get(name).account();
        return account.isLimited() && spec.limited() && account.isInTokens() != spec.inTokens();
    }

    private void applyLimit(String name, RateSpec spec, long nowMillis) {
        Limit known = limits.get(name);
        if (known != null) {
            known.account().limit(spec, credit(spec), nowMillis);
            return;
        }
        LimitAccount account = new LimitAccount(spec, credit(spec), nowMillis);
        limits.put(name, new Limit(account, new UnitQueue(account, suppliers.apply(name))));
    }

    /**
     * Takes a request's units from its organisation's limit, after waiting for units of other
     * processes if this one holds too few.
     *
     * @param organisation the organisation
     * @param units size of the request
     * @param maxWaitMillis maximum time to wait, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @param outcome receives the result, perhaps during this call
     */
    public void request(
            String organisation,
            double units,
            long maxWaitMillis,
            long nowMillis,
            Outcome outcome) {
        Limit limit = limits.get(organisation);
        if (limit == null || !limit.account().isLimited()) {
            outcome.admitted();
            return;
        }
        Admission admission = new Admission(organisation, outcome);
        limit.queue().request(units, maxWaitMillis, admission, nowMillis);
        if (!admission.decided) {
            onWaiting.run();
        }
    }

    /**
     * Takes a request's units if this process holds enough.
     *
     * @param organisation the organisation
     * @param units size of the request
     * @param nowMillis the current time, in milliseconds
     * @return 0 if the request is admitted, else the milliseconds after which a retry may succeed
     */
    public long tryTake(String organisation, double units, long nowMillis) {
        Limit limit = limits.get(organisation);
        if (limit == null || limit.account().tryTake(units, nowMillis)) {
            log.admitted(organisation, units);
            return 0;
        }
        log.refused(organisation);
        double missing = units - limit.account().units(nowMillis);
        return Math.min(UnitQueue.MAX_WAIT_MILLIS, limit.account().accrualMillis(missing));
    }

    /**
     * Takes the units of a request that is sent to an upstream.
     *
     * @param organisation the organisation
     * @param units size of the request
     * @param attempt number of the attempt, from 1; the units of the first are already taken
     * @param waitedMillis time since the request was admitted, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    void sent(String organisation, double units, int attempt, long waitedMillis, long nowMillis) {
        Limit limit = limits.get(organisation);
        if (limit != null && limit.account().isLimited()) {
            log.sent(organisation, units, attempt, waitedMillis);
            if (attempt > 1) {
                limit.account().charge(units, nowMillis);
            }
        }
    }

    /**
     * Returns units that were not used, or were received from another process.
     *
     * @param organisation the organisation
     * @param units the units
     * @param nowMillis the current time, in milliseconds
     */
    public void add(String organisation, double units, long nowMillis) {
        Limit limit = limits.get(organisation);
        if (limit != null) {
            limit.account().add(units, nowMillis);
        }
    }

    /** Returns the record of what is admitted and sent. */
    LimitUseLog log() {
        return log;
    }

    /** Returns the organisations. */
    Set<String> organisations() {
        return limits.keySet();
    }

    /** Returns whether an organisation has a limit here. */
    boolean isKnown(String organisation) {
        return limits.containsKey(organisation);
    }

    /**
     * Returns an even part of an organisation's limit.
     *
     * @param organisation the organisation
     * @param processes the number of parts
     * @return units a second; 0 for an unknown organisation
     */
    double evenPart(String organisation, int processes) {
        Limit limit = limits.get(organisation);
        return limit == null ? 0 : limit.account().perSecond() / processes;
    }

    /** Sets what this process may accrue and hold of a limit. */
    void share(String organisation, LimitAccount.Share share, long nowMillis) {
        LimitAccount account = limits.get(organisation).account();
        account.share(share, nowMillis);
        if (share.own() > 0 && unused.remove(organisation)) {
            account.add(account.burst() * share.own(), nowMillis);
        }
    }

    /** Takes the units that this process does not need for itself. */
    double takeSurplus(String organisation, long nowMillis) {
        Limit limit = limits.get(organisation);
        return limit.queue().isWaiting() ? 0 : limit.account().takeSurplus(nowMillis);
    }

    /** Takes the units that this process may not hold. */
    double takeExcess(String organisation, long nowMillis) {
        Limit limit = limits.get(organisation);
        return limit.queue().isWaiting() ? 0 : limit.account().takeExcess(nowMillis);
    }

    /** Returns the organisations for which this process holds few units. */
    Collection<String> needs(long nowMillis) {
        List<String> few = new ArrayList<>();
        limits.forEach(
                (name, limit) -> {
                    if (limit.account().isLimited() && limit.queue().isShort(nowMillis)) {
                        few.add(name);
                    }
                });
        return few;
    }

    /** Requests units for another process. */
    void requestOfPeer(
            String organisation, Demand demand, UnitQueue.Outcome outcome, long nowMillis) {
        limits.get(organisation).queue().requestOfPeer(demand, outcome, nowMillis);
    }

    /** Handles the answer to a request for units. */
    void answered(String organisation, double units, long waitMillis, long nowMillis) {
        Limit limit = limits.get(organisation);
        if (limit != null) {
            limit.queue().answered(units, waitMillis, nowMillis);
        }
    }

    /** Notifies that the process that was asked for units is lost. */
    void supplierLost(String organisation) {
        Limit limit = limits.get(organisation);
        if (limit != null) {
            limit.queue().supplierLost();
        }
    }

    /** Returns whether any request waits for units. */
    boolean isAnyWaiting() {
        return limits.values().stream().anyMatch(limit -> limit.queue().isWaiting());
    }

    /** Ends waits that have lasted too long. */
    void check(long nowMillis) {
        limits.values().forEach(limit -> limit.queue().tick(nowMillis));
    }

    /**
     * Computes the size of a request in the units of a limit.
     *
     * @param limit the limit
     * @param tokensIn number of prompt tokens; 0 if unknown
     * @param tokensOut maximum number of output tokens
     * @return the size in units
     */
    public static int size(RateSpec limit, int tokensIn, int tokensOut) {
        if (!limit.inTokens()) {
            return 1;
        }
        int tokens = tokensIn + tokensOut;
        return tokens > 0 ? tokens : limit.unsizedTokens();
    }

    private double credit(RateSpec limit) {
        return CREDIT_BURST_RATIO * limit.burst() + CREDIT_TOLERANCE_RATIO * tolerance.units();
    }

    /** Returns a limit raised by the parts of the tolerance that are used in any case. */
    private RateSpec withTolerance(RateSpec limit) {
        if (!limit.limited()) {
            return limit;
        }
        return new RateSpec(
                limit.perSecond() * (1 + RATE_TOLERANCE_RATIO * tolerance.ratio()),
                limit.burst() + BURST_TOLERANCE_RATIO * tolerance.units(),
                limit.inTokens(),
                limit.unsizedTokens());
    }

    /** Passes on the result of a caller's request. */
    private final class Admission implements UnitQueue.Outcome {
        private final String organisation;
        private final Outcome outcome;
        private boolean decided;

        Admission(String organisation, Outcome outcome) {
            this.organisation = organisation;
            this.outcome = outcome;
        }

        @Override
        public void granted(double units) {
            decided = true;
            log.admitted(organisation, units);
            outcome.admitted();
        }

        @Override
        public void refused(long waitMillis) {
            decided = true;
            log.refused(organisation);
            outcome.refused(Math.max(1, waitMillis));
        }

        @Override
        public void withdrawn() {
            decided = true;
            outcome.withdrawn();
        }
    }

    /** Used by a process that relies on no other one. */
    private static final class NoSupplier implements UnitQueue.Supplier {
        @Override
        public boolean exists() {
            return false;
        }

        @Override
        public boolean ask(Demand demand) {
            return false;
        }

        @Override
        public long replyTimeoutMillis() {
            return 0;
        }

        @Override
        public void unanswered() {}
    }
}
