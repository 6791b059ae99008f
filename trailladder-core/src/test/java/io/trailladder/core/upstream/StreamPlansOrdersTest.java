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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.VersionGate;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/** Tests that each plan in use counts, and no other, in further orders of starts and losses. */
class StreamPlansOrdersTest extends SimulatedStreams {
    private static final long T = 50_000;
    private static final int HISTORIES = 150;
    private static final StreamInquiry ASKED = new StreamInquiry(true, true, true);
    private static final VersionPlan ONE = new VersionPlan(1, Map.of("m", Map.of("v1", 1)));
    private static final VersionPlan TWO = new VersionPlan(2, Map.of("m", Map.of("v2", 1)));

    private final UpstreamDirectory directory = new UpstreamDirectory();

    private void list(String id, String version) {
        directory.changed(new Upstream(id, "m", "a", id + ":1", 8, false, false, 0, version, 0, 0));
    }

    private StreamVersions process(String name) {
        return new StreamVersions(name, directory, new VersionGate(), T);
    }

    private static VersionRecord record(long silentNumber, VersionPlan... plans) {
        return new VersionRecord(plans[0].number(), List.of(plans), silentNumber, Map.of());
    }

    private static void read(StreamVersions streams, VersionRecord record, long nowMillis) {
        RecordTimes times =
                new RecordTimes(Map.of(record.oldestNumber(), 20_000L), Map.of(), Map.of());
        streams.record().read(record, times, nowMillis, nowMillis);
    }

    private void addVersion(String version, int upstreams) {
        for (int i = 0; i < upstreams; i++) {
            change(upstream("n" + i, version), true);
        }
    }

    private static StreamCall call(int i) {
        return new StreamCall("m", "a" + i);
    }

    private void settle(StreamVersions streams, long fromMillis, long toMillis) {
        for (long tick = fromMillis; tick <= toMillis; tick += 200) {
            streams.list().confirmed(tick);
            streams.tick(tick);
        }
    }

    /** Guards against a silent process that the leader knew, and the one after it does not. */
    @Example
    void aSilentProcessCountsThatIsRecordedAfterTheFirstRead() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = process("own");
        read(own, record(PlanUse.NONE, ONE), T);
        own.record().written(record(PlanUse.NONE, ONE, TWO), T + 2_000);
        settle(own, T, T + 30_000);
        own.peerLinked("leader", T + 30_000);
        own.planUsed("leader", 2, T + 30_000);
        own.peerRemoved("leader", T + 40_000);
        // the leader that has ended knew a process that is silent and uses plan 1
        read(own, new VersionRecord(1, List.of(ONE, TWO), 1, Map.of()), T + 40_100);
        settle(own, T + 40_100, T + 70_000);
        StreamOrigin origin = own.computed(call(1), ASKED, T + 70_000);
        assertNotEquals(Optional.of("v2"), origin.required());
    }

    /** Returns how many streams are joined long after the versions have changed. */
    private int joinedAfterAChange() {
        advance(2_000, 40);
        addVersion("v9", 6);
        advance(100_000, 40);
        return joined;
    }

    /** Guards against the same, played: a process restarts as another one is cut off. */
    @Example
    void streamsOfAProcessThatIsCutOffAreNotJoinedByOneThatRestartsThen() {
        int sum = 0;
        for (int down = 200; down <= 1_400; down += 300) {
            start(5, 1);
            advance(5_000, 40);
            processes.get(1).isolate();
            processes.get(2).restart(down);
            sum += joinedAfterAChange();
        }
        assertEquals(0, sum);
    }

    /** Guards against the same where the cut process is not listed any more at the start. */
    @Example
    void streamsOfAProcessThatIsCutOffAreNotJoinedAfterALossOfAllOthers() {
        int sum = 0;
        for (int wait : new int[] {0, 400, 1_000, 1_400, 5_000, 15_000, 80_000}) {
            start(5, 1);
            advance(5_000, 40);
            processes.get(1).isolate();
            advance(wait, 40);
            for (int i : new int[] {0, 2, 3, 4}) {
                processes.get(i).restart(400 + 200 * i);
            }
            sum += joinedAfterAChange();
        }
        assertEquals(0, sum);
    }

    /** Guards against the same where its entry has run out before the others return. */
    @Example
    void streamsOfAProcessThatIsCutOffAreNotJoinedByOthersThatReturnLate() {
        int sum = 0;
        for (int down : new int[] {9_000, 11_000, 15_000, 25_000, 45_000}) {
            start(5, 1);
            advance(5_000, 40);
            processes.get(1).isolate();
            for (int i : new int[] {0, 2, 3, 4}) {
                processes.get(i).restart(down + 200 * i);
            }
            sum += joinedAfterAChange();
        }
        assertEquals(0, sum);
    }

    /** Guards against a process that restarts and from then on reaches the store alone. */
    @Example
    void streamsAreNotJoinedOfAProcessThatRestartsAndReachesOnlyTheStore() {
        start(5, 2);
        advance(5_000, 40);
        processes.get(1).restart(300);
        processes.get(1).cutFromPeers = true;
        advance(4_000, 40);
        addVersion("v9", 6);
        advance(100_000, 40);
        assertEquals(0, joined, seen());
    }

    /** Guards against a store whose record is gone, after which fewer plans would count. */
    @Example
    void plansCountThatAreKnownThoughTheRecordIsGone() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions own = process("own");
        read(own, record(PlanUse.NONE, ONE), T);
        settle(own, T, T + 30_000);
        own.peerLinked("x", T + 30_000);
        own.peerLinked("z", T + 30_000);
        own.planUsed("x", 1, T + 30_000);
        own.planUsed("z", 1, T + 30_000);
        own.record().written(record(PlanUse.NONE, ONE, TWO), T + 30_100);
        own.planUsed("x", 2, T + 30_200);
        own.peerRemoved("x", T + 40_000);
        own.record().nothingRead(T + 40_100);
        settle(own, T + 40_100, T + 40_300);
        // x began it by plan 2; z still uses plan 1
        StreamOrigin origin = own.computed(call(1), ASKED, T + 40_300);
        assertNotEquals(Optional.of("v1"), origin.required());
    }

    /** Guards against a process that was listed and soon heard, and counts as silent elsewhere. */
    @Example
    void aProcessThatIsHeardDoesNotCountAsSilentAtOthersThatReadTheRecord() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions leader = process("leader");
        read(leader, record(PlanUse.NONE, ONE), T);
        leader.peersListed(List.of("p", "q"), T + 100);
        VersionRecord recorded = leader.record().next(T + 200).orElseThrow();
        leader.planUsed("p", 1, T + 300);
        leader.planUsed("q", 1, T + 300);
        StreamVersions started = process("q");
        RecordTimes times = leader.record().times(T + 200);
        started.record().read(recorded, times, T + 210, T + 210);
        started.planUsed("p", 1, T + 400);
        started.planUsed("leader", 1, T + 400);
        started.record().written(record(PlanUse.NONE, ONE, TWO), T + 500);
        started.planUsed("p", 2, T + 600);
        started.planUsed("leader", 2, T + 600);
        settle(started, T + 600, T + 90_000);
        StreamOrigin origin = started.computed(call(1), ASKED, T + 90_000);
        assertEquals(Optional.of("v2"), origin.required(), started.describe(call(1), T + 90_000));
    }

    /** Guards against a process that has stopped as announced, and is recorded as silent. */
    @Example
    void aProcessThatHasStoppedIsNotRecordedAsSilent() {
        list("u1", "v1");
        StreamVersions leader = process("leader");
        read(leader, record(PlanUse.NONE, ONE), T);
        settle(leader, T, T + 30_000);
        leader.peerLinked("p", T + 30_000);
        leader.planUsed("p", 1, T + 30_100);
        leader.tick(T + 30_200);
        leader.peerRemoved("p", T + 30_300);
        assertEquals(PlanUse.NONE, leader.record().next(T + 30_340).orElseThrow().silentNumber());
    }

    /**
     * Guards against a plan that counts longer at each process that reads it when one is linked.
     */
    @Example
    void aPlanIsRecordedForNoLongerBecauseAPeerIsLinked() {
        list("u1", "v1");
        list("u2", "v2");
        StreamVersions leader = process("leader");
        VersionRecord earlier = record(PlanUse.NONE, ONE, TWO);
        leader.record()
                .read(earlier, new RecordTimes(Map.of(1L, 3_000L), Map.of(), Map.of()), T, T);
        leader.peerLinked("p", T + 1_000);
        VersionRecord recorded = leader.record().next(T + 1_100).orElseThrow();
        RecordTimes times = leader.record().times(T + 1_100);
        leader.planUsed("p", 2, T + 1_200);
        StreamVersions started = process("q");
        started.record().read(recorded, times, T + 1_150, T + 1_150);
        settle(started, T + 1_200, T + 70_000);
        StreamOrigin origin = started.computed(call(1), ASKED, T + 70_000);
        assertEquals(Optional.of("v2"), origin.required(), started.describe(call(1), T + 70_000));
    }

    /** Guards against streams refused for minutes after all were lost and returned in turn. */
    @Example
    void streamsGoOnAfterAllReturnedAtDifferentTimes() {
        start(5, 2);
        advance(5_000, 40);
        restartInTurn();
        loseAllButOneAfterAChange();
    }

    /** The same where all return at one time. */
    @Example
    void streamsGoOnAfterAllReturnedAtOnce() {
        start(5, 2);
        advance(5_000, 40);
        processes.forEach(process -> process.restart(500));
        loseAllButOneAfterAChange();
    }

    private void restartInTurn() {
        for (int i = 0; i < 5; i++) {
            processes.get(i).restart(500 + 700 * i);
        }
    }

    private void loseAllButOneAfterAChange() {
        advance(90_000, 40);
        addVersion("v9", 6);
        advance(30_000, 40);
        assertEquals(0, joined, seen());
        countEarlierStreams();
        for (int i : new int[] {0, 1, 2, 4}) {
            processes.get(i).restart(4_000);
        }
        advance(3_800, 0);
        assertTrue(resumed > 0 && goOn(0.95), seen());
    }

    /** Guards against plans that count for ten minutes after processes returned one by one. */
    @Example
    void plansAreForgottenAfterAllReturnedAtDifferentTimes() {
        start(5, 2);
        advance(5_000, 40);
        restartInTurn();
        advance(10_000, 40);
        addVersion("v9", 6);
        advance(90_000, 40);
        long used = processes.get(0).plan();
        assertEquals(used, recordedSince(), "recorded by the process that returned first");
        processes.get(0).restart(3_000);
        advance(2_500, 40);
        assertEquals(used, recordedSince(), "recorded by the process that returned second");
    }

    /** Guards against streams joined in drawn histories of short cuts, losses and outages. */
    @Example
    void nothingIsJoinedInDrawnHistories() {
        StringBuilder found = new StringBuilder();
        for (int seed = 0; seed < HISTORIES; seed++) {
            draw(seed);
            if (joined > 0) {
                found.append(seed).append(": ").append(seen()).append("; ");
            }
        }
        assertEquals("", found.toString());
    }

    private void draw(int seed) {
        start(5, 2);
        attemptsFail = seed % 2 == 0;
        random = new SplittableRandom(seed);
        int version = 3;
        long[] until = new long[5];
        long at = 0;
        for (int step = 0; step < 60; step++) {
            int which = random.nextInt(5);
            Gateway process = processes.get(which);
            switch (random.nextInt(8)) {
                case 0 -> process.restart(random.nextInt(20, 3_000));
                case 1 -> {
                    process.isolate();
                    until[which] = at + random.nextInt(200, 8_000);
                }
                case 2 -> processes.forEach(each -> each.restart(random.nextInt(20, 3_000)));
                case 3 -> storeReachable = !storeReachable;
                case 4 -> {
                    version++;
                    addVersion("v" + version, 4);
                }
                case 5 -> change(upstream("u" + random.nextInt(12), "v" + version), false);
                case 6 -> change(upstream("u" + random.nextInt(12), "v" + version), true);
                default -> storeReachable = true;
            }
            long millis = random.nextInt(40, 2_500);
            advance(millis, 40);
            at += millis;
            for (int i = 0; i < 5; i++) {
                if (until[i] > 0 && until[i] < at) {
                    processes.get(i).reconnect();
                    until[i] = 0;
                }
            }
        }
    }
}
