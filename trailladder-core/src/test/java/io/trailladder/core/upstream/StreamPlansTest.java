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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.VersionGate;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests that processes agree on the plans, and on the streams that do not follow from them. */
class StreamPlansTest extends SimulatedStreams {
    private static final long T = 50_000;
    private static final StreamInquiry ASKED = new StreamInquiry(true, true, true);
    private static final VersionPlan ONE = new VersionPlan(1, Map.of("m", Map.of("v1", 1)));

    private final UpstreamDirectory directory = new UpstreamDirectory();

    private static VersionPlan two(int v1, int v2) {
        return new VersionPlan(2, Map.of("m", Map.of("v1", v1, "v2", v2)));
    }

    private static VersionRecord record(VersionPlan... plans) {
        return new VersionRecord(plans[0].number(), List.of(plans), PlanUse.NONE, Map.of());
    }

    private static void read(StreamVersions streams, VersionRecord record, long nowMillis) {
        streams.record().read(record, RecordTimes.longest(record), nowMillis, nowMillis);
    }

    private void list(String id, String version) {
        directory.changed(new Upstream(id, "m", "a", id + ":1", 8, false, false, 0, version, 0, 0));
    }

    private StreamVersions process(String name) {
        StreamVersions streams = new StreamVersions(name, directory, new VersionGate(), 0);
        read(streams, record(ONE), 0);
        for (long tick = 0; tick <= T; tick += 200) {
            streams.list().confirmed(tick);
            streams.tick(tick);
        }
        return streams;
    }

    private static StreamCall call(int i) {
        return new StreamCall("m", "a" + i);
    }

    private static void passOn(
            StreamRecord stream, StreamVersions hub, StreamVersions other, long nowMillis) {
        if (hub.learned(stream, nowMillis)) {
            other.learned(stream, nowMillis);
        }
    }

    /** Guards against a hub that does not pass on what it has known before. */
    @Example
    void hubsAreToldOfStreamsOfALeafThatANewPlanAssignsElsewhere() {
        list("u1", "v1");
        StreamVersions leaf = process("leaf");
        StreamVersions hub = process("hub");
        StreamVersions other = process("other");
        for (int i = 0; i < 40; i++) {
            leaf.sent(call(i), "v1", T);
            leaf.began(call(i), "v1", T);
            hub.learned(StreamVersions.hash(call(i)), "v1");
        }
        hub.planUsed("leaf", leaf.usedNumber(List.of(), false, T), T);
        other.planUsed("hub", hub.usedNumber(List.of("leaf"), true, T), T);
        list("u2", "v2");
        VersionPlan next = two(8, 8);
        for (StreamVersions each : List.of(leaf, hub, other)) {
            each.record().written(record(ONE, next), T + 100);
        }
        for (StreamRecord stream : leaf.takeNews()) {
            if (hub.learned(stream, T + 110)) {
                other.learned(stream, T + 120);
            }
        }
        hub.planUsed("leaf", leaf.usedNumber(List.of(), false, T + 200), T);
        other.planUsed("hub", hub.usedNumber(List.of("leaf"), true, T + 200), T);
        long now = T + 2_100;
        other.peerRemoved("hub", now);
        read(other, other.record().next(now).orElseThrow(), now);
        int joined = 0;
        for (int i = 0; i < 40; i++) {
            joined +=
                    other.computed(call(i), new StreamInquiry(false, true, true), now + 1)
                                    .equals(StreamOrigin.computed("v2"))
                            ? 1
                            : 0;
        }
        assertEquals(0, joined, joined + " of 40 streams that began at v1 are resumed at v2");
    }

    /** Guards against the same where a second attempt runs at another version. */
    @Example
    void hubsAreToldOfTheVersionOfASecondAttempt() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions hub = process("hub");
        StreamVersions other = process("other");
        long hash = StreamVersions.hash(call(1));
        hub.learned(hash, "v1");
        passOn(new StreamRecord(hash, "v3", 0), hub, other, T);
        hub.learned(hash, "v1");
        passOn(new StreamRecord(hash, "v1", 0), hub, other, T + 200);
        assertEquals(Optional.of("v1"), other.recorded(hash));
    }

    /** Guards against a plan that is stated before all streams were told that it moves. */
    @Example
    void everyPeerIsToldOfEachStreamBeforeTheNewPlan() {
        list("u1", "v1");
        StreamVersions own = process("own");
        for (int i = 0; i < 600; i++) {
            own.sent(call(i), "v1", T);
        }
        list("u2", "v2");
        VersionPlan next = new VersionPlan(2, Map.of("m", Map.of("v2", 1)));
        own.record().written(record(ONE, next), T + 100);
        assertEquals(600, own.takeNews().size(), "told before plan 2 is stated");
        assertEquals(2, own.usedNumber(List.of(), false, T + 100));
    }

    /** Guards against processes that keep, and tell again, what was told long ago. */
    @Example
    void whatWasToldLongAgoIsForgotten() {
        StreamVersions own = process("own");
        for (int i = 0; i < 100_000; i++) {
            own.learned(new StreamRecord(i, "v1", 0), T);
        }
        long now = T + 100_000;
        for (long tick = T; tick <= now; tick += 200) {
            own.tick(tick);
        }
        own.peerLinked("new", now);
        assertEquals(List.of(), own.told(now));
    }

    /** Guards against a plan that is stated though streams were forgotten that it moves. */
    @Example
    void streamsThatAreNotKeptAreAllowedFor() {
        list("u1", "v1");
        StreamVersions own = process("own");
        for (int i = 0; i < 24_000; i++) {
            own.sent(call(i), "v1", T + i / 4);
        }
        list("u2", "v2");
        VersionPlan next = two(95, 5);
        long begun = T + 6_000;
        own.record().written(record(ONE, next), begun);
        Set<Long> told = new HashSet<>();
        own.takeNews().forEach(each -> told.add(each.attempt()));
        long stated = own.usedNumber(List.of(), false, begun);
        int untold = 0;
        for (int i = 0; i < 24_000; i++) {
            boolean moved = next.assigned("m", "a" + i).equals(Optional.of("v2"));
            untold += moved && !told.contains(StreamVersions.hash(call(i))) ? 1 : 0;
        }
        assertTrue(untold > 0, "all are kept, " + told.size() + " told");
        assertTrue(stated < 2, "plan " + stated + " stated, " + untold + " untold");
    }

    /** Guards against streams that were told and are forgotten among many others. */
    @Example
    void aStreamThatWasToldIsKnownWhileItIsRecorded() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = process("own");
        VersionPlan next = new VersionPlan(2, Map.of("m", Map.of("v2", 1)));
        read(own, record(ONE, next), T);
        for (long now = T; now <= T + 30_000; now += 200) {
            own.tick(now);
        }
        long now = T + 30_000;
        read(own, record(next), now);
        own.learned(new StreamRecord(StreamVersions.hash(call(1)), "v1", 0), now);
        for (int i = 2; i < 20_002; i++) {
            own.learned(StreamVersions.hash(call(i)), "v2");
        }
        own.list().confirmed(now + 5_000);
        assertNotEquals(Optional.of("v2"), own.computed(call(1), ASKED, now + 5_000).required());
    }

    /** Guards against a peer whose wrong number ends all plans. */
    @Example
    void aWrongNumberDoesNotEndPlansForGood() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = process("own");
        own.plans().told(Long.MAX_VALUE, Optional.empty(), T);
        long now = T + 60_000;
        for (long tick = T; tick <= now; tick += 200) {
            own.list().confirmed(tick);
            own.tick(tick);
        }
        assertTrue(own.record().next(now).isPresent(), "no plan is made");
        own.record().written(own.record().next(now).orElseThrow(), now);
        assertFalse(own.plans().isOutdated());
    }

    /** Guards against two plans of one number after the store has lost its last writes. */
    @Example
    void twoPlansOfOneNumberAreNoticed() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions one = process("one");
        StreamVersions other = process("other");
        one.record().written(record(ONE, two(8, 1)), T);
        other.record().written(record(ONE, two(1, 8)), T);
        one.peerLinked("other", T);
        other.peerLinked("one", T);
        other.plans().told(one.plans().current().number(), one.plans().news(T + 1), T + 1);
        one.plans().told(other.plans().current().number(), other.plans().news(T + 1), T + 1);
        one.record().storeReplaced();
        other.record().storeReplaced();
        VersionRecord next = other.record().next(T + 10).orElseThrow();
        other.record().written(next, T + 10);
        one.plans().told(other.plans().current().number(), Optional.empty(), T + 20);
        assertTrue(one.plans().isOutdated());
        read(one, next, T + 30);
        assertEquals(other.plans().current(), one.plans().current());
        StreamOrigin origin = one.computed(call(1), ASKED, T + 40);
        assertEquals(StreamOrigin.Source.UNKNOWN, origin.source());
    }

    /** Guards against any upstream being chosen while a plan of others is not known. */
    @Example
    void noVersionIsTheOnlyOneWhileAPlanIsLacking() {
        list("u1", "v1");
        StreamVersions own = process("own");
        own.plans().told(2, Optional.empty(), T);
        own.list().confirmed(T);
        assertNotEquals(
                StreamOrigin.Source.ONE_VERSION,
                own.computed(call(1), new StreamInquiry(true, true, false), T).source());
    }

    /** Guards against streams joined of a process that is cut off for more than a minute. */
    @Example
    void streamsOfAProcessThatIsCutOffForLongAreNotJoined() {
        start(5, 1);
        advance(5_000, 40);
        processes.get(1).isolate();
        advance(2_000, 40);
        for (int i = 0; i < 6; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        advance(58_000, 40);
        int before = joined;
        advance(40_000, 40);
        assertEquals(0, joined, seen() + ", " + before + " in the first minute");
    }

    /** Guards against streams joined of a version that goes for a moment in a loss of all. */
    @Example
    void streamsThatBeganElsewhereForWantOfAVersionAreNotJoined() {
        int sum = 0;
        int plays = 0;
        for (int seed = 0; seed < 150; seed++) {
            start(2, 12);
            attemptsFail = false;
            random = new java.util.SplittableRandom(seed);
            advance(200 + 20L * (seed % 10), 40);
            for (int i = 0; i < 8; i++) {
                change(upstream("u" + i, "v" + i), false);
            }
            advance(260 + 20L * (seed % 12), 50);
            processes.forEach(process -> process.restart(1_000));
            advance(400, 0);
            for (int i = 0; i < 8; i++) {
                change(upstream("r" + i, "v" + i), true);
            }
            advance(6_000, 0);
            sum += joined;
            plays++;
        }
        assertEquals(0, sum, "joined in " + plays + " plays");
    }

    /** Guards against streams joined at a process that reaches the store, but no peer. */
    @Example
    void streamsAreNotJoinedAtAProcessThatReachesOnlyTheStore() {
        start(5, 2);
        advance(5_000, 40);
        processes.get(1).cutFromPeers = true;
        advance(4_000, 40);
        for (int i = 0; i < 6; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        advance(12_000, 40);
        assertEquals(0, joined, seen());
    }

    /** Guards against streams joined at a process that was cut off for long and returns. */
    @Example
    void streamsOfAProcessThatWasFrozenForLongAreNotJoined() {
        start(5, 1);
        advance(5_000, 40);
        processes.get(1).isolate();
        callersAvoidIsolated = true;
        advance(2_000, 40);
        for (int i = 0; i < 6; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        advance(65_000, 40);
        assertEquals(0, joined, seen());
        callersAvoidIsolated = false;
        advance(1_500, 40);
        processes.get(1).reconnect();
        advance(8_000, 0);
        assertEquals(0, joined, seen());
    }

    /** Guards against streams of which nothing is told because they last long. */
    @Example
    void aStreamThatLastsLongIsTold() {
        list("u1", "v1");
        StreamVersions own = process("own");
        for (int i = 0; i < 40; i++) {
            own.sent(call(i), "v1", T);
        }
        list("u2", "v2");
        long now = T + 61_000;
        for (long tick = T; tick <= now; tick += 200) {
            for (int i = 0; i < 40; i++) {
                own.began(call(i), "v1", tick);
            }
            own.tick(tick);
        }
        VersionPlan next = new VersionPlan(2, Map.of("m", Map.of("v2", 1)));
        own.record().written(record(ONE, next), now);
        assertEquals(40, own.takeNews().size());
    }

    /** Guards against streams joined that found no place in the record. */
    @Example
    void streamsThatAreNotRecordedAreAllowedFor() {
        list("u1", "v1");
        StreamVersions leader = process("leader");
        for (int i = 0; i < BegunStreams.MAX_RECORDED + 500; i++) {
            StreamRecord stream = new StreamRecord(StreamVersions.hash(call(i)), "v9", 0);
            leader.learned(stream, T);
        }
        VersionRecord recorded = leader.record().next(T).orElseThrow();
        list("u2", "v9");
        StreamVersions reader = new StreamVersions("r", directory, new VersionGate(), T + 1_000);
        read(reader, recorded, T + 1_000);
        assertEquals(StreamOrigin.UNKNOWN, reader.computed(call(0), ASKED, T + 1_100));
    }

    /** Guards against a hub that states a plan for a leaf of a build without plans. */
    @Example
    void aHubTellsOfLeavesThatUseNoPlan() {
        list("u1", "v1");
        StreamVersions hub = process("hub");
        for (int i = 0; i < 10; i++) {
            hub.peerHeard("leaf", T + 200L * i);
        }
        assertEquals(0, hub.usedNumber(List.of("leaf"), true, T + 2_000));
    }

    /** Guards against streams of two services whose callers use one id. */
    @Example
    void anIdOfTwoServicesNamesTwoStreams() {
        StreamVersions own = process("own");
        own.began(new StreamCall("m", "x"), "v1", T);
        own.began(new StreamCall("n", "x"), "v2", T);
        assertEquals(
                Optional.of(StreamOrigin.recorded("v1")), own.recorded(new StreamCall("m", "x")));
    }

    /** Guards against plans that are held without end by losses of all in series. */
    @Example
    void plansAreForgottenThoughAllProcessesAreLostInSeries() {
        start(8, 1);
        String before = "u";
        String version = "v0";
        long usedTwoLossesAgo = 0;
        long usedAtLoss = 0;
        for (int loss = 0; loss < 6; loss++) {
            assertTrue(
                    recordedSince() >= usedTwoLossesAgo,
                    recordedSince() + " recorded, " + usedTwoLossesAgo + " used two losses ago");
            String next = "v" + (20 + loss);
            for (int i = 0; i < 12; i++) {
                change(upstream(next + i, next), true);
            }
            advance(4_000, 40);
            for (int i = 0; i < 12; i++) {
                change(upstream(before + i, version).asLeaving(), true);
            }
            before = next;
            version = next;
            advance(12_000, 40);
            usedTwoLossesAgo = usedAtLoss;
            usedAtLoss = processes.get(0).plan();
            processes.forEach(process -> process.restart(1_000));
            advance(2_000, 40);
        }
        assertEquals(0, joined, seen());
    }

    /** Guards against streams refused after a start because peers were known before the record. */
    @Example
    void peersThatWereListedBeforeTheRecordWasReadUseItsPlans() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = new StreamVersions("own", directory, new VersionGate(), T);
        own.tick(T);
        own.peersListed(List.of("p"), T);
        own.peerLinked("q", T);
        read(own, record(two(8, 8)), T + 20);
        own.list().confirmed(T + 100);
        StreamOrigin origin = own.computed(call(1), ASKED, T + 100);
        assertEquals(StreamOrigin.Source.COMPUTED, origin.source());
    }

    /** Guards against streams refused because a process has not read the record yet. */
    @Example
    void aProcessThatHasNotReadTheRecordStatesNoPlan() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions started = new StreamVersions("p", directory, new VersionGate(), T);
        StreamVersions own = process("own");
        own.record().written(record(ONE, two(8, 8)), T);
        own.peerLinked("p", T);
        own.planUsed("p", started.usedNumber(List.of(), false, T), T);
        assertEquals(2, own.record().next(T + 100).orElseThrow().oldestNumber());
        started.record().nothingRead(T);
        assertEquals(0, started.usedNumber(List.of(), false, T));
    }

    /**
     * Guards against plans that count for another 20 s though the record says that they are over.
     */
    @Example
    void aPlanIsHeldForNoLongerThanTheRecordTells() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = new StreamVersions("own", directory, new VersionGate(), T);
        VersionRecord record = new VersionRecord(0, List.of(two(8, 8)), PlanUse.NONE, Map.of());
        own.record().read(record, new RecordTimes(Map.of(2L, 20_000L), Map.of(), Map.of()), T, T);
        own.tick(T);
        own.list().confirmed(T + 100);
        StreamOrigin origin = own.computed(call(1), ASKED, T + 100);
        assertEquals(StreamOrigin.Source.COMPUTED, origin.source());
    }
}
