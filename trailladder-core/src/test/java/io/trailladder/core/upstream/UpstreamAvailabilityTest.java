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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.RouteKind;
import io.trailladder.core.policy.ServiceShare;
import io.trailladder.core.rollout.VersionGate;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.UpstreamAvailability.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/** What is known of leaving and resting, as all who send and plan see it. */
class UpstreamAvailabilityTest {
    private static final int BURST = 100;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamBackoffs backoffs = new UpstreamBackoffs();
    private final UpstreamAvailability availability = new UpstreamAvailability(directory, backoffs);
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamSelector selector =
            new UpstreamSelector(
                    Topology.oneRegion("a"),
                    availability,
                    loads,
                    new EngineModel(),
                    new VersionGate(),
                    () -> 1,
                    List.of());

    private static Upstream entry(String id, boolean draining, long leavesMillis) {
        return new Upstream(id, "s", "a", "h:1", 8, draining, true, leavesMillis);
    }

    private Upstream listed(String id) {
        directory.changed(entry(id, false, 0));
        return directory.find(id).orElseThrow();
    }

    private Optional<String> chosen(long nowMillis) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RouteKind.STREAMING,
                        8_000,
                        1_000,
                        0,
                        List.of(new ServiceShare("s", 1)),
                        2,
                        false,
                        true,
                        true);
        Prompt prompt = new Prompt(500, 50, List.of());
        ServingRequest request =
                new ServingRequest("id", "t", route, "s", 0, prompt, 100, 0, 8_000, 1);
        return selector.choose(request, Set.of(), nowMillis)
                .map(selection -> selection.upstream().id());
    }

    @Example
    void leavingIsNotRevokedByOlderEntriesOrLists() {
        Upstream upstream = listed("w");
        assertEquals(State.TAKES_REQUESTS, availability.of(upstream, 0));
        directory.leaving(new LeavingUpstream("w", 0));
        assertEquals(State.LEAVING, availability.of(upstream, 0));
        directory.changed(entry("w", false, 0));
        assertEquals(State.LEAVING, availability.of(upstream, 0), "an older entry");
        directory.replaceAll(List.of(entry("w", false, 0)));
        assertEquals(State.LEAVING, availability.of(upstream, 0), "an older list");
        directory.removed("w");
        directory.changed(entry("w", false, 0));
        assertEquals(State.LEAVING, availability.of(upstream, 0), "an entry that came back");
        assertTrue(chosen(0).isEmpty());
    }

    /** The plan of the fleet, orders and figures read the record, not the question of senders. */
    @Example
    void directoryListsALeavingUpstreamAsDraining() {
        listed("w");
        directory.leaving(new LeavingUpstream("w", 0));
        assertTrue(directory.find("w").orElseThrow().draining());
        directory.changed(entry("w", false, 0));
        assertTrue(directory.all().get(0).draining());
    }

    @Example
    void leavingReportedBeforeTheEntryIsKnownApplies() {
        assertTrue(directory.leaving(new LeavingUpstream("w", 0)).isEmpty());
        assertTrue(listed("w").draining());
    }

    /** Work is moved away by the time that the entry tells, which is news though leaving is not. */
    @Example
    void endTimeIsReportedOnce() {
        listed("w");
        assertTrue(directory.leaving(new LeavingUpstream("w", 0)).isPresent());
        assertTrue(directory.changed(entry("w", true, 0)).isEmpty(), "known");
        Optional<Upstream> news = directory.changed(entry("w", true, 2_000));
        assertEquals(2_000, news.orElseThrow().leavesInMillis());
        assertTrue(directory.changed(entry("w", true, 1_000)).isEmpty(), "told before");
    }

    private static Upstream incarnation(long bornMillis) {
        return new Upstream("w", "s", "a", "h:1", 8, false, true, 0, "", 0, bornMillis);
    }

    /** An upstream may crash while it leaves and start again under its name. */
    @Example
    void leavingEndsWithTheIncarnation() {
        directory.changed(incarnation(5));
        directory.leaving(new LeavingUpstream("w", 5));
        directory.changed(incarnation(5));
        assertEquals(State.LEAVING, availability.of(incarnation(5), 0));
        directory.changed(incarnation(6));
        assertEquals(State.TAKES_REQUESTS, availability.of(incarnation(6), 0));
        assertEquals(State.REMOVED, availability.of(incarnation(5), 0), "the life before");
        assertTrue(directory.leaving(new LeavingUpstream("w", 5)).isEmpty(), "a late word of it");
        assertEquals("w", chosen(0).orElseThrow());
        assertTrue(directory.leaving(new LeavingUpstream("w", 6)).isPresent());
    }

    @Example
    void reportWithoutStartTimeAppliesToTheListedIncarnation() {
        directory.changed(incarnation(5));
        directory.leaving(new LeavingUpstream("w", 0));
        assertEquals(State.LEAVING, availability.of(incarnation(5), 0));
        directory.changed(incarnation(6));
        assertEquals(State.TAKES_REQUESTS, availability.of(incarnation(6), 0));
    }

    @Example
    void unlistedUpstreamIsRemoved() {
        Upstream upstream = listed("w");
        directory.removed("w");
        assertEquals(State.REMOVED, availability.of(upstream, 0));
    }

    @Example
    void upstreamBackingOffIsNotChosenEvenIfItIsTheOnlyOne() {
        Upstream one = listed("w0");
        Upstream other = listed("w1");
        backoffs.backoffRequested(one, 3_000, 0);
        for (int millis = 0; millis < 3_000; millis += 100) {
            assertEquals("w1", chosen(millis).orElseThrow());
        }
        backoffs.backoffRequested(other, 1_000, 1_500);
        assertTrue(chosen(1_600).isEmpty());
        assertEquals(900, availability.untilAnyAcceptsMillis("s", 0, 1_600), "the shortest of the rests");
        assertEquals("w1", chosen(2_500).orElseThrow());
        assertEquals(0, availability.untilAnyAcceptsMillis("s", 0, 2_500));
    }

    @Example
    void leavingUpstreamIsNotWaitedFor() {
        backoffs.backoffRequested(listed("w0"), 3_000, 0);
        backoffs.backoffRequested(listed("w1"), 1_000, 0);
        directory.leaving(new LeavingUpstream("w1", 0));
        assertEquals(3_000, availability.untilAnyAcceptsMillis("s", 0, 0));
        directory.leaving(new LeavingUpstream("w0", 0));
        assertEquals(
                0, availability.untilAnyAcceptsMillis("s", 0, 0), "none stays, so no rest is waited for");
    }

    /** Requests of one moment: those under way at others make an idle upstream the best choice. */
    @Example
    void burstAfterABackoffSendsASingleRequest() {
        Upstream rested = listed("w0");
        listed("w1");
        loads.setPeerUses("peer", List.of(new UpstreamUse("w1", 50, 40_000)));
        assertEquals(
                BURST, burst(0).getOrDefault("w0", 0), "without a rest all go to the idle one");
        backoffs.backoffRequested(rested, 1_000, 0);
        Map<String, Integer> after = burst(1_000);
        assertEquals(1, after.getOrDefault("w0", 0), "one shows whether it takes requests again");
        assertEquals(BURST - 1, after.getOrDefault("w1", 0));
        backoffs.requestAccepted(rested, 1_010);
        assertEquals("w0", chosen(1_011).orElseThrow(), "it does");
    }

    private Map<String, Integer> burst(long nowMillis) {
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < BURST; i++) {
            String id = chosen(nowMillis).orElseThrow();
            backoffs.sent(directory.find(id).orElseThrow(), nowMillis);
            sent.merge(id, 1, Integer::sum);
        }
        return sent;
    }

    @Example
    void recoveringUpstreamIsChosenIfThereIsNoOther() {
        Upstream rested = listed("w0");
        backoffs.backoffRequested(rested, 1_000, 0);
        backoffs.sent(rested, 1_000);
        assertTrue(availability.isRecovering(rested, 1_001));
        assertEquals("w0", chosen(1_001).orElseThrow());
        assertFalse(availability.isRecovering(rested, 2_000));
    }
}
