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
package io.trailladder.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.limit.LimitAccount.Share;
import io.trailladder.core.limit.UnitQueue.Demand;
import io.trailladder.core.policy.RateSpec;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests requests that wait for units of another process. */
class UnitQueueTest {
    private static final RateSpec LIMIT = new RateSpec(1_000, 1_000, true, 1);
    private static final long MAX_WAIT_MILLIS = 250;

    private final LimitAccount account = new LimitAccount(LIMIT, 300, 0);
    private final List<Demand> asked = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private boolean exists = true;
    private boolean reachable = true;
    private int unanswered;
    private final UnitQueue queue = new UnitQueue(account, new Other());

    /** The process that is asked. */
    private final class Other implements UnitQueue.Supplier {
        @Override
        public boolean exists() {
            return exists;
        }

        @Override
        public boolean ask(Demand demand) {
            if (reachable) {
                asked.add(demand);
            }
            return reachable;
        }

        @Override
        public long replyTimeoutMillis() {
            return 100;
        }

        @Override
        public void unanswered() {
            unanswered++;
        }
    }

    private UnitQueue.Outcome outcome(String name) {
        return new UnitQueue.Outcome() {
            @Override
            public void granted(double units) {
                outcomes.add(name + " granted " + Math.round(units));
            }

            @Override
            public void refused(long waitMillis) {
                outcomes.add(name + " refused " + waitMillis);
            }

            @Override
            public void withdrawn() {
                outcomes.add(name + " withdrawn");
            }
        };
    }

    private void request(String name, double units, long nowMillis) {
        queue.request(units, MAX_WAIT_MILLIS, outcome(name), nowMillis);
    }

    @Example
    void unitsHeldHereAreGrantedAtOnce() {
        account.add(100, 0);
        request("a", 80, 0);
        assertEquals(List.of("a granted 80"), outcomes);
        assertTrue(asked.isEmpty());
    }

    @Example
    void missingUnitsAreRequestedOnceForAllThatWait() {
        account.add(30, 0);
        request("a", 80, 0);
        request("b", 40, 10);
        assertEquals(List.of(new Demand(50, 50, 0)), asked);
        queue.answered(50, 0, 20);
        assertEquals(List.of("a granted 80"), outcomes);
        assertEquals(new Demand(40, 40, 0), asked.get(1));
        queue.answered(45, 0, 30);
        assertEquals(List.of("a granted 80", "b granted 40"), outcomes);
    }

    @Example
    void requestsAreRefusedAtOnceWhenThereAreNoUnits() {
        request("a", 80, 0);
        queue.answered(0, 700, 20);
        assertEquals(List.of("a refused 700"), outcomes);
        request("b", 80, 30);
        assertEquals("b refused 690", outcomes.get(1), "the answer is remembered");
        assertEquals(1, asked.size());
        request("c", 80, 400);
        assertEquals(new Demand(80, 80, 160), asked.get(1), "asked again, with what was refused");
    }

    /** Guards against a caller that is held to its deadline by a process that is gone. */
    @Example
    void requestWaitsNoLongerThanItsTimeForAnAnswer() {
        request("a", 80, 0);
        queue.tick(99);
        assertEquals(0, unanswered);
        queue.tick(100);
        assertEquals(1, unanswered);
        assertEquals(2, asked.size(), "the next process is asked");
        reachable = false;
        queue.tick(200);
        assertTrue(outcomes.isEmpty());
        queue.tick(250);
        assertEquals(1, outcomes.size());
        assertFalse(queue.isWaiting());
    }

    /** Guards against requests that are never decided because their limit was taken away. */
    @Example
    void requestsThatWaitAreToldThatTheirLimitIsGone() {
        request("a", 80, 0);
        queue.requestOfPeer(new Demand(10, 20, 0), outcome("peer"), 0);
        queue.close();
        assertEquals(List.of("a withdrawn", "peer withdrawn"), outcomes);
        assertFalse(queue.isWaiting());
        queue.tick(1_000);
        assertEquals(2, outcomes.size());
    }

    /** Guards against a request that is decided twice because another one came meanwhile. */
    @Example
    void outcomeMayLeadToAnotherRequest() {
        UnitQueue.Outcome again =
                new UnitQueue.Outcome() {
                    @Override
                    public void granted(double units) {
                        outcomes.add("first granted");
                        exists = false;
                        request("second", 500, 260);
                    }

                    @Override
                    public void refused(long waitMillis) {
                        outcomes.add("first refused");
                        request("second", 80, 260);
                    }

                    @Override
                    public void withdrawn() {
                        outcomes.add("first withdrawn");
                    }
                };
        queue.request(80, MAX_WAIT_MILLIS, again, 0);
        request("other", 90, 0);
        reachable = false;
        queue.tick(250);
        assertEquals(List.of("first refused", "other refused 200"), outcomes);
        queue.tick(510);
        outcomes.clear();
        reachable = true;
        queue.request(80, MAX_WAIT_MILLIS, again, 520);
        request("other", 90, 520);
        queue.answered(80, 0, 530);
        assertEquals("first granted", outcomes.get(0));
        assertEquals(1, outcomes.stream().filter(each -> each.startsWith("first")).count());
    }

    @Example
    void lateAnswerIsUsedForOtherRequests() {
        request("a", 80, 0);
        queue.tick(100);
        queue.tick(250);
        queue.answered(80, 0, 300);
        request("b", 70, 310);
        assertEquals("b granted 70", outcomes.get(1));
    }

    /** Guards against refused callers that are all told the same moment. */
    @Example
    void callersAreToldToComeBackOneAfterTheOther() {
        exists = false;
        account.share(new Share(1, 1, 1), 0);
        request("a", 100, 0);
        request("b", 100, 0);
        request("c", 100, 0);
        assertEquals(List.of("a refused 100", "b refused 200", "c refused 300"), outcomes);
    }

    @Example
    void callersAreToldAtMostTheLongestWait() {
        exists = false;
        account.share(new Share(1, 1, 1), 0);
        for (int i = 0; i < 100; i++) {
            request("a", 100, 0);
        }
        assertEquals("a refused " + UnitQueue.MAX_WAIT_MILLIS, outcomes.get(99));
    }

    @Example
    void anotherProcessGetsWhatItNeedsAndAPartOfTheRest() {
        exists = false;
        account.add(500, 0);
        queue.requestOfPeer(new Demand(100, 400, 0), outcome("peer"), 0);
        assertEquals(List.of("peer granted 300"), outcomes);
        assertEquals(200, account.units(0));
    }

    @Example
    void requestOfAnotherProcessIsPassedOn() {
        queue.requestOfPeer(new Demand(100, 150, 60), outcome("peer"), 0);
        assertEquals(List.of(new Demand(100, 150, 60)), asked);
        queue.answered(150, 0, 5);
        assertEquals(1, outcomes.size());
        assertTrue(outcomes.get(0).startsWith("peer granted 12"), outcomes.toString());
    }

    @Example
    void impossibleDemandsAreInvalid() {
        assertTrue(new Demand(0, 0, 0).isValid());
        assertFalse(new Demand(-1, 0, 0).isValid());
        assertFalse(new Demand(2, 1, 0).isValid());
        assertFalse(new Demand(0, Double.NaN, 0).isValid());
        assertFalse(new Demand(0, Double.POSITIVE_INFINITY, 0).isValid());
        assertFalse(new Demand(Double.NaN, 1, 0).isValid());
    }
}
