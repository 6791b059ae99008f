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
    private static final long BEGIN_MILLIS = 1_700_000_000_000L;
    private static final String SERVICE = "s";
    private static final int URGENT = 0;
    private static final int LATER = 2;
    private static final long MILLIS = 60_000;
    private static final long SETTLE_MILLIS = 5_000;

    private long now = BEGIN_MILLIS;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final SplittableRandom random = new SplittableRandom(20261203);
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> now, upstream -> new TurnOrder(0, 1));
    private final UpstreamAvailability availability =
            new UpstreamAvailability(directory, new UpstreamRests(), limits);
    private final int[] asked = new int[10];
    private final int[] served = new int[10];

    private Upstream upstream(int number) {
        Upstream upstream = new Upstream("w" + number, SERVICE, "a", "h:1", 8, false, false, 0);
        directory.changed(upstream);
        return upstream;
    }

    private void run(double urgentPerSecond, double laterPerSecond) {
        long end = now + MILLIS;
        while (now < end) {
            now++;
            if (random.nextDouble() < urgentPerSecond / 1_000) {
                ask(URGENT);
            }
            if (random.nextDouble() < laterPerSecond / 1_000) {
                ask(LATER);
            }
        }
    }

    private void ask(int priority) {
        availability.asked(SERVICE, priority, now);
        double held = availability.heldPart(SERVICE, priority, now);
        List<Upstream> taking = availability.takingNow(availability.staying(SERVICE), held, now);
        boolean counts = now > BEGIN_MILLIS + SETTLE_MILLIS;
        asked[priority] += counts ? 1 : 0;
        if (!taking.isEmpty() && limits.take(taking.get(0)).isPresent()) {
            served[priority] += counts ? 1 : 0;
        } else {
            assertTrue(availability.noneTakesMillis(SERVICE, priority, now) > 0, "told when");
        }
    }

    private double part(int priority) {
        return (double) served[priority] / asked[priority];
    }

    @Example
    void moreUrgentRequestsAreServedBeforeOthers() {
        limits.answered(upstream(1), LimitNotice.of(4), now, now);
        limits.answered(upstream(2), LimitNotice.of(4), now, now);
        run(6, 40);
        String told = part(URGENT) + " of the urgent, " + part(LATER) + " of the others";
        assertTrue(part(URGENT) >= 0.9, told);
        double used = (served[URGENT] + served[LATER]) / (8 * (MILLIS - SETTLE_MILLIS) / 1_000.0);
        assertTrue(used >= 0.9, used + " of the limits, " + told);
    }

    @Example
    void othersTakeWhatTheUrgentLeave() {
        limits.answered(upstream(1), LimitNotice.of(4), now, now);
        run(0.2, 40);
        double used = (served[URGENT] + served[LATER]) / (4 * (MILLIS - SETTLE_MILLIS) / 1_000.0);
        assertTrue(used >= 0.9, used + " of the limit");
    }

    @Example
    void nothingIsHeldWhileAnUpstreamNamesNoLimit() {
        limits.answered(upstream(1), LimitNotice.of(4), now, now);
        upstream(2);
        for (int i = 0; i < 100; i++) {
            availability.asked(SERVICE, URGENT, now);
        }
        assertEquals(0, availability.heldPart(SERVICE, LATER, now));
    }
}
