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
package io.trailladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.table.Table;
import io.trailladder.wire.PeerMessage.Forward;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.RecordPut;
import java.util.List;
import net.jqwik.api.Example;

/** A stream whose entry stops is resumed at its successor, for each order of events tested here. */
class HandOverTest {
    private static final int TOKENS = 400;

    private final RecordedAnswer begun = new RecordedAnswer();

    /** Starts a stream at the first entry and runs it for the given time. */
    private String begin(SimulatedEntries system, long millis) {
        system.entry("a").stream(TOKENS, begun);
        system.run(millis);
        assertTrue(begun.tokens() > 0, begun.toString());
        return begun.requestId();
    }

    /** Requests the remainder from an entry, as the caller of a moved stream does. */
    private void assertResumesAt(SimulatedEntries system, String entry, String id) {
        RecordedAnswer rest = system.entry(entry).ask(id, begun.tokens(), new RecordedAnswer());
        system.run(4_000);
        assertWhole(rest);
    }

    private void assertWhole(RecordedAnswer rest) {
        assertTrue(rest.isWhole(), rest.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), begun.text() + rest.text());
    }

    // Guards against a 404 for a caller that reaches the successor before the hand-over arrives.
    @Example
    void callerThatReachesTheSuccessorBeforeTheHandOverReceivesTheRemainder() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 250);
        system.hold("a", "b", 50);
        system.handOver("a");
        RecordedAnswer rest = system.entry("b").ask(id, begun.tokens(), new RecordedAnswer());
        system.run(3_000);
        assertWhole(rest);
    }

    // Guards against a relayed answer that ends early when its entry is lost, although the relaying
    // entry itself resumes the request.
    @Example
    void relayingEntryContinuesTheAnswerItselfOnceItsPeerIsLost() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 250);
        RecordedAnswer passed = system.entry("b").ask(id, 0, new RecordedAnswer());
        system.run(100);
        assertTrue(passed.tokens() > 0, passed.toString());
        system.kill("a");
        system.run(5_000);
        assertTrue(passed.isWhole(), passed.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), passed.text());
        assertEquals(1, passed.heads(), "an answer has one head");
    }

    // Guards against an entry that has handed over and resumes from the successor's copy on
    // request.
    @Example
    void entryThatHasHandedOverDoesNotResumeFromTheSuccessorsCopyOnRequest() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.handOver("a");
        system.run(5);
        RecordHandOver handOver = system.sent("a", "b", RecordHandOver.class).get(0);
        system.send("b", "a", new RecordPut(handOver.request()));
        system.run(5);
        int runs = system.engine.runsOf("a").size();
        RecordedAnswer rest = system.entry("a").ask(id, begun.tokens(), new RecordedAnswer());
        system.send(
                "c",
                "a",
                new Forward(
                        7,
                        id,
                        SimulatedEntry.ORGANISATION,
                        "GET",
                        "/v1/requests/" + id,
                        List.of(),
                        new byte[0]));
        system.run(200);
        assertEquals(runs, system.engine.runsOf("a").size(), system.engine.runs().toString());
        system.run(3_000);
        assertTrue(rest.tokens() > 0, rest.toString());
    }

    // Guards against an entry that has handed over and resumes when its successor is lost.
    @Example
    void entryThatHasHandedOverDoesNotResumeFromTheCopyOfALostSuccessor() {
        SimulatedEntries system = new SimulatedEntries(3);
        begin(system, 250);
        system.handOver("a");
        system.run(5);
        RecordHandOver handOver = system.sent("a", "b", RecordHandOver.class).get(0);
        system.send("b", "a", new RecordPut(handOver.request()));
        system.run(5);
        int runs = system.engine.runsOf("a").size();
        system.kill("b");
        system.run(200);
        assertEquals(runs, system.engine.runsOf("a").size(), system.engine.runs().toString());
    }

    // Guards against a request that is resumed at an entry about to end, and lost with that entry.
    @Example
    void successorThatHasHandedOverItselfIsSkipped() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.handOver("b");
        system.handOver("a");
        system.run(700);
        assertTrue(begun.isMoved(), begun.toString());
        assertResumesAt(system, "c", id);
        assertEquals(2, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against a lost request: the successor, itself stopping, gets a hand-over from an entry
    // that expects no answer.
    @Example
    void successorThatHasHandedOverItselfForwardsWhatAnEarlierBuildSends() {
        SimulatedEntries system = new SimulatedEntries(3);
        begin(system, 250);
        RecordPut put = system.sent("a", "b", RecordPut.class).get(0);
        system.handOver("b");
        system.send("a", "b", new RecordHandOver(put.request()));
        system.run(5);
        system.kill("a");
        system.run(700);
        assertEquals(List.of("c"), system.engine.activeEntries(), system.engine.runs().toString());
    }

    // Guards against a request that is lost because its hand-over was lost with the link.
    @Example
    void handOverThatIsLostWithItsLinkIsSentToAnother() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.hold("a", "b", 50);
        system.handOver("a");
        system.run(10);
        system.kill("b");
        system.run(600);
        assertResumesAt(system, "c", id);
    }

    // Guards against a request that is lost because its copy holder was lost just before.
    @Example
    void requestWhoseCopyHolderIsLostJustBeforeIsHandedToAnother() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.kill("b");
        system.handOver("a");
        system.run(600);
        assertResumesAt(system, "c", id);
    }

    // Guards against a request that is lost because the successor's table forbids it.
    @Example
    void successorWhoseTableForbidsTheRequestIsSkipped() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.entry("b").table(Table.of(system.clock.millis(), "none", List.of()));
        system.handOver("a");
        system.run(600);
        assertResumesAt(system, "c", id);
    }

    // Guards against two entries that run one request after a hand-over: a frozen successor that
    // continues, and the one that was chosen in its place.
    @Example
    void frozenSuccessorEndsWhatAnotherOneHasAccepted() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 250);
        system.freeze("b", 400);
        system.handOver("a");
        system.run(1_000);
        assertEquals(List.of("c"), system.engine.activeEntries(), system.engine.runs().toString());
        assertResumesAt(system, "b", id);
    }

    // Guards against a moved event that the caller gets before any successor has accepted.
    @Example
    void callerIsNotifiedOfTheMoveOnceASuccessorHasAccepted() {
        SimulatedEntries system = new SimulatedEntries(2);
        begin(system, 250);
        system.hold("a", "b", 50);
        system.handOver("a");
        system.run(45);
        assertTrue(!begun.isMoved(), begun.toString());
        system.run(20);
        assertTrue(begun.isMoved(), begun.toString());
    }

    // Guards against a copy that is resumed although its request went to another successor.
    @Example
    void copyOfARequestThatWentToAnotherSuccessorIsNotResumed() {
        SimulatedEntries system = new SimulatedEntries(3);
        begin(system, 250);
        system.freeze("b", 150);
        system.handOver("a");
        system.run(1_000);
        assertEquals(List.of("c"), system.engine.activeEntries(), system.engine.runs().toString());
        assertEquals(0, system.engine.runsOf("b").stream().filter(r -> !r.over).count());
    }

    // Guards against a request that an entry starts after its hand-over, and that is lost with it.
    @Example
    void requestAcceptedDuringTheHandOverEndsAsNotRun() {
        SimulatedEntries system = new SimulatedEntries(2);
        system.entry("a").stream(TOKENS, begun);
        system.handOver("a");
        system.run(1_000);
        assertEquals("not-run", begun.outcome(), begun.toString());
        assertEquals(0, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against an entry without requests that resumes some while it ends.
    @Example
    void endingEntryWithoutRequestsResumesNone() {
        SimulatedEntries system = new SimulatedEntries(2);
        begin(system, 250);
        system.handOver("b");
        system.kill("a");
        system.run(200);
        assertEquals(0, system.engine.runsOf("b").size(), system.engine.runs().toString());
    }

    // Guards against a request that is lost with an entry killed during its hand-over.
    @Example
    void requestOfAnEntryKilledDuringTheHandOverRunsAtOneEntry() {
        for (int millis = 0; millis <= 10; millis++) {
            SimulatedEntries system = new SimulatedEntries(3);
            RecordedAnswer first = new RecordedAnswer();
            system.entry("a").stream(TOKENS, first);
            system.run(250);
            system.handOver("a");
            system.run(millis);
            system.kill("a");
            system.run(100);
            assertEquals(1, system.engine.activeEntries().size(), system.engine.runs().toString());
            RecordedAnswer rest =
                    system.entry("c").ask(first.requestId(), first.tokens(), new RecordedAnswer());
            system.run(4_000);
            assertTrue(rest.isWhole(), millis + " ms: " + rest);
            assertEquals(SimulatedEngine.answer(TOKENS), first.text() + rest.text());
        }
    }

    // Guards against a request that is lost with a successor killed just after it accepted it.
    @Example
    void requestOfASuccessorKilledAfterAcceptingRunsAtOneEntry() {
        for (int millis = 0; millis <= 10; millis++) {
            SimulatedEntries system = new SimulatedEntries(3);
            RecordedAnswer first = new RecordedAnswer();
            system.entry("a").stream(TOKENS, first);
            system.run(250);
            system.handOver("a");
            system.run(millis);
            system.kill("b");
            system.run(600);
            assertEquals(List.of("c"), system.engine.activeEntries(), millis + " ms");
            RecordedAnswer rest =
                    system.entry("c").ask(first.requestId(), first.tokens(), new RecordedAnswer());
            system.run(4_000);
            assertTrue(rest.isWhole(), millis + " ms: " + rest);
        }
    }
}
