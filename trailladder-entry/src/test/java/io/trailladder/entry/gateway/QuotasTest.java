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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.limit.LimitAccount.Share;
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.RateSpec;
import io.trailladder.core.policy.RequestBounds;
import io.trailladder.core.policy.ServingPolicy;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.Example;

/** Tests the limits of organisations at one process. */
class QuotasTest {
    private static final String ORGANISATION = "t";
    private static final Share ALL = new Share(1, 1, 1);

    private final Quotas quotas =
            new Quotas(
                    false,
                    new GatewaySettings.Tolerance(0, 0),
                    new LimitUseLog(new GatewayMetrics()));
    private final List<Long> outcomes = new ArrayList<>();

    private static ServingPolicy policy(RateSpec limit) {
        OrganisationSpec organisation =
                new OrganisationSpec(ORGANISATION, List.of("k"), OptionalInt.empty(), limit);
        return new ServingPolicy(
                1, List.of(), List.of(), List.of(organisation), RequestBounds.DEFAULTS);
    }

    private void apply(RateSpec limit) {
        quotas.applyPolicy(policy(limit), 0);
    }

    private void applyAndFill(double perSecond, double burst) {
        apply(new RateSpec(perSecond, burst, true, 1));
        quotas.share(ORGANISATION, ALL, 0);
        quotas.add(ORGANISATION, burst, 0);
    }

    private double grantedAtOnce(long nowMillis) {
        double granted = 0;
        while (quotas.tryTake(ORGANISATION, 10, nowMillis) == 0) {
            granted += 10;
        }
        return granted;
    }

    private void request(double units) {
        quotas.request(ORGANISATION, units, 250, 0, new DecidedOutcome(outcomes::add));
    }

    /** Guards against a start, or a limit that is set again, that grants what was spent before. */
    @Example
    void newLimitGrantsNothingThatAnEarlierOneMayHaveGranted() {
        apply(new RateSpec(1_000, 1_000, true, 1));
        quotas.share(ORGANISATION, ALL, 0);
        assertEquals(0, grantedAtOnce(0));
        assertEquals(500, grantedAtOnce(500));
    }

    @Example
    void firstStartGrantsItsPartOfTheUnusedBurstOnce() {
        Quotas first =
                new Quotas(
                        true,
                        new GatewaySettings.Tolerance(0, 0),
                        new LimitUseLog(new GatewayMetrics()));
        ServingPolicy policy = policy(new RateSpec(0.001, 1_000, true, 1));
        first.applyPolicy(policy, 0);
        first.share(ORGANISATION, Share.NONE, 0);
        first.share(ORGANISATION, new Share(0.25, 0.25, 0.25), 0);
        first.applyPolicy(policy, 0);
        first.share(ORGANISATION, new Share(0.25, 0.25, 0.25), 0);
        assertEquals(0, first.tryTake(ORGANISATION, 250, 0));
        assertTrue(first.tryTake(ORGANISATION, 1, 0) > 0);
    }

    @Example
    void lowerLimitAppliesAtOnce() {
        applyAndFill(1_000, 1_000);
        apply(new RateSpec(10, 50, true, 1));
        assertTrue(grantedAtOnce(0) <= 50);
    }

    @Example
    void unitsOfARequestThatDidNotRunAreUsedAgain() {
        applyAndFill(0.001, 1_000);
        assertEquals(1_000, grantedAtOnce(0));
        quotas.add(ORGANISATION, 300, 0);
        assertEquals(300, grantedAtOnce(0));
    }

    /** Guards against requests that reach upstreams more often than they are counted. */
    @Example
    void furtherTriesTakeUnits() {
        applyAndFill(0.001, 1_000);
        quotas.sent(ORGANISATION, 200, 1, 0, 0);
        quotas.sent(ORGANISATION, 200, 2, 0, 0);
        assertEquals(800, grantedAtOnce(0));
    }

    @Example
    void requestWithoutUnitsIsRefusedAtOnceWhereNobodyCanBeAsked() {
        applyAndFill(1_000, 1_000);
        request(400);
        request(800);
        assertEquals(List.of(0L, 200L), outcomes);
    }

    @Example
    void requestOfAnUnlimitedOrUnknownOrganisationIsAdmitted() {
        apply(RateSpec.UNLIMITED);
        request(1_000_000);
        quotas.request("other", 1_000_000, 250, 0, new DecidedOutcome(outcomes::add));
        assertEquals(List.of(0L, 0L), outcomes);
    }

    @Example
    void limitWithoutABurstAdmitsAtItsRate() {
        apply(new RateSpec(1_000, 0, true, 1));
        quotas.share(ORGANISATION, ALL, 0);
        int admitted = 0;
        for (long now = 0; now < 1_000; now += 10) {
            admitted += quotas.tryTake(ORGANISATION, 10, now) == 0 ? 1 : 0;
        }
        assertTrue(admitted >= 99, admitted + " of 100 requests at the rate of the limit");
        assertTrue(admitted <= 101, admitted + " of 100 requests at the rate of the limit");
    }

    /** Has requests wait for the units of another process that never answers. */
    private void waitForUnits(int requests) {
        quotas.suppliers(organisation -> new SilentSupplier(), () -> {});
        apply(new RateSpec(0.001, 100, true, 1));
        for (int i = 0; i < requests; i++) {
            request(80);
        }
        assertEquals(List.of(), outcomes);
    }

    /** Guards against callers that get no answer because their organisation is taken away. */
    @Example
    void requestsThatWaitAreDecidedWhenTheirOrganisationIsTakenAway() {
        waitForUnits(3);
        quotas.applyPolicy(
                new ServingPolicy(2, List.of(), List.of(), List.of(), RequestBounds.DEFAULTS), 10);
        assertEquals(Collections.nCopies(3, DecidedOutcome.WITHDRAWN), outcomes);
    }

    /** Guards against requests that are admitted by their size in the units of an earlier limit. */
    @Example
    void requestsThatWaitAreDecidedAnewWhenTheirLimitIsInOtherUnits() {
        waitForUnits(2);
        apply(new RateSpec(0.001, 100, false, 1));
        assertEquals(Collections.nCopies(2, DecidedOutcome.WITHDRAWN), outcomes);
    }

    @Example
    void requestsThatWaitAreAdmittedWhenTheirLimitIsRemoved() {
        waitForUnits(2);
        apply(RateSpec.UNLIMITED);
        quotas.check(20);
        assertEquals(List.of(0L, 0L), outcomes);
    }
}
