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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/** Who takes the few turns at upstreams that are all limited, in virtual time. */
class LimitUrgencyTest {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final String SERVICE = "s";
    private static final int URGENT = 0;
    private static final int NOT_URGENT = 2;
    private static final long DURATION_MILLIS = 60_000;
    private static final long SETTLE_MILLIS = 5_000;

    private long now = START_MILLIS;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final SplittableRandom random = new SplittableRandom(20261203);
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> now, upstream -> new SendSlotOrder(0, 1));
    private final UpstreamAvailability availability =
            new UpstreamAvailability(directory, new UpstreamBackoffs(), limits);
    private final int[] requested = new int[10];
    private final int[] served = new int[10];

    private Upstream upstream(int number) {
        Upstream upstream = new Upstream("w" + number, SERVICE, "a", "h:1", 8, false, false, 0);
        directory.changed(upstream);
        return upstream;
    }

    private void run(double urgentPerSecond, double laterPerSecond) {
        long end = now + DURATION_MILLIS;
        while (now < end) {
            now++;
            if (random.nextDouble() < urgentPerSecond / 1_000) {
                request(URGENT);
            }
            if (random.nextDouble() < laterPerSecond / 1_000) {
                request(NOT_URGENT);
            }
        }
    }

    private void request(int priority) {
        availability.requestReceived(SERVICE, priority, now);
        double held = availability.reservedFraction(SERVICE, priority, now);
        List<Upstream> taking = availability.acceptingNow(availability.notLeaving(SERVICE), held, now);
        boolean counts = now > START_MILLIS + SETTLE_MILLIS;
        requested[priority] += counts ? 1 : 0;
        if (!taking.isEmpty() && limits.take(taking.get(0)).isPresent()) {
            served[priority] += counts ? 1 : 0;
        } else {
            assertTrue(availability.untilAnyAcceptsMillis(SERVICE, priority, now) > 0, "told when");
        }
    }

    private double servedFraction(int priority) {
        return (double) served[priority] / requested[priority];
    }

    @Example
    void moreUrgentRequestsAreServedBeforeOthers() {
        limits.answerReceived(upstream(1), LimitNotice.of(4), now, now);
        limits.answerReceived(upstream(2), LimitNotice.of(4), now, now);
        run(6, 40);
        String told = servedFraction(URGENT) + " of the urgent, " + servedFraction(NOT_URGENT) + " of the others";
        assertTrue(servedFraction(URGENT) >= 0.9, told);
        double used = (served[URGENT] + served[NOT_URGENT]) / (8 * (DURATION_MILLIS - SETTLE_MILLIS) / 1_000.0);
        assertTrue(used >= 0.9, used + " of the limits, " + told);
    }

    @Example
    void lessUrgentRequestsUseSlotsLeftByUrgentOnes() {
        limits.answerReceived(upstream(1), LimitNotice.of(4), now, now);
        run(0.2, 40);
        double used = (served[URGENT] + served[NOT_URGENT]) / (4 * (DURATION_MILLIS - SETTLE_MILLIS) / 1_000.0);
        assertTrue(used >= 0.9, used + " of the limit");
    }

    @Example
    void nothingIsReservedWhileAnUpstreamNamesNoLimit() {
        limits.answerReceived(upstream(1), LimitNotice.of(4), now, now);
        upstream(2);
        for (int i = 0; i < 100; i++) {
            availability.requestReceived(SERVICE, URGENT, now);
        }
        assertEquals(0, availability.reservedFraction(SERVICE, NOT_URGENT, now));
    }
}
