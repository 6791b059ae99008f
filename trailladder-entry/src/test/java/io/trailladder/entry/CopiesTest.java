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
import io.trailladder.wire.PeerMessage.Header;
import java.util.List;
import net.jqwik.api.Example;

/** Copies of requests: which entry resumes from them, and how a request run by two ends at one. */
class CopiesTest {
    private static final int TOKENS = 400;

    private final RecordedAnswer begun = new RecordedAnswer();

    private String begin(SimulatedEntries system, int tokens, long millis) {
        system.entry("a").stream(tokens, begun);
        system.run(millis);
        assertTrue(begun.tokens() > 0, begun.toString());
        return begun.requestId();
    }

    // Guards against a complete answer whose request is sent to an engine again from its copy.
    @Example
    void wholeAnswerIsReadFromItsCopyAndNotGeneratedAgain() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 40, 600);
        assertTrue(begun.isWhole(), begun.toString());
        system.kill("a");
        RecordedAnswer again = system.entry("b").ask(id, 0, new RecordedAnswer());
        system.run(2_000);
        assertTrue(again.isWhole(), again.toString());
        assertEquals(SimulatedEngine.answer(40), again.text());
        assertEquals(1, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against a request that its entry abandoned and another one resumes from its copy.
    @Example
    void abandonedRequestIsNotResumedFromItsCopy() {
        SimulatedEntries system = new SimulatedEntries(2);
        begin(system, 4_000, 250);
        begun.leave();
        system.run(2_500);
        assertEquals(List.of(), system.engine.activeEntries(), "its caller has disconnected");
        system.kill("a");
        system.run(2_000);
        assertEquals(1, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against a request that the table ended and that is resumed from its copy at an entry
    // whose table still has the row.
    @Example
    void requestEndedByTheTableIsNotResumedFromItsCopy() {
        SimulatedEntries system = new SimulatedEntries(2);
        begin(system, TOKENS, 250);
        system.entry("a").table(Table.of(system.clock.millis(), "none", List.of()));
        system.run(50);
        assertTrue(begun.isOver(), begun.toString());
        system.kill("a");
        system.run(2_000);
        assertEquals(1, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against two entries that both run one request after the link between them was cut.
    @Example
    void requestResumedDuringACutIsReturnedAfterIt() {
        SimulatedEntries system = new SimulatedEntries(2);
        begin(system, TOKENS, 250);
        system.cut("a", "b");
        system.run(300);
        assertEquals(List.of("a", "b"), system.engine.activeEntries());
        system.heal("a", "b");
        system.run(500);
        assertEquals(List.of("a"), system.engine.activeEntries(), system.engine.runs().toString());
        system.run(4_000);
        assertTrue(begun.isWhole(), begun.toString());
    }

    // Guards against two entries that both run one request after its entry was frozen for a while.
    @Example
    void requestResumedFromAFrozenEntryIsReturnedToIt() {
        SimulatedEntries system = new SimulatedEntries(3);
        begin(system, 2_000, 250);
        system.freeze("a", 4_000);
        system.run(3_500);
        assertEquals(1, system.engine.runsOf("b").size(), system.engine.runs().toString());
        system.run(1_500);
        assertEquals(List.of("a"), system.engine.activeEntries(), system.engine.runs().toString());
        system.kill("a");
        system.run(500);
        assertEquals(1, system.engine.activeEntries().size(), system.engine.runs().toString());
    }

    // Guards against a request that is lost because its copy holder no longer has the copy.
    @Example
    void returnedRequestHasACopyAgain() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, TOKENS, 250);
        system.cut("a", "b");
        system.run(50);
        system.heal("a", "b");
        system.run(500);
        system.kill("a");
        system.run(100);
        RecordedAnswer rest = system.entry("b").ask(id, begun.tokens(), new RecordedAnswer());
        system.run(4_000);
        assertTrue(rest.isWhole(), rest.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), begun.text() + rest.text());
    }

    // Guards against two copies of one request that are both resumed once its entry is lost.
    @Example
    void formerCopyHolderDoesNotResumeWhatAnotherOneHolds() {
        SimulatedEntries system = new SimulatedEntries(3);
        begin(system, 2_000, 250);
        system.cut("a", "b");
        system.run(400);
        system.heal("a", "b");
        system.run(400);
        assertEquals(List.of("a"), system.engine.activeEntries(), system.engine.runs().toString());
        system.kill("a");
        system.run(300);
        assertEquals(1, system.engine.activeEntries().size(), system.engine.runs().toString());
    }

    // Guards against the text of a failure in the middle of an answer, which then ends as if it
    // were
    // complete.
    @Example
    void refusalOfAPeerIsNotPassedOnInTheMiddleOfAnAnswer() {
        SimulatedEntries system = new SimulatedEntries(3);
        String id = begin(system, 40, 50);
        RecordedAnswer passed = system.entry("c").ask(id, 0, new RecordedAnswer());
        system.run(50);
        assertTrue(passed.tokens() > 0, passed.toString());
        system.hold("a", "c", 10_000);
        system.run(500);
        system.entry("b").table(Table.of(system.clock.millis(), "none", List.of()));
        system.kill("a");
        system.run(10_000);
        assertTrue(passed.isOver(), passed.toString());
        assertTrue(!passed.bytes().contains("no request of this name"), passed.bytes());
    }

    // Guards against two runs of one request that its caller sends twice at the same time.
    @Example
    void requestThatIsSentTwiceWithOneKeyAtTheSameMomentRunsOnce() {
        SimulatedEntries system = new SimulatedEntries(2);
        Header key = new Header("Idempotency-Key", "k");
        RecordedAnswer second = new RecordedAnswer();
        system.entry("a").stream(40, begun, key);
        system.entry("a").stream(40, second, key);
        system.run(2_000);
        assertTrue(begun.isWhole() && second.isWhole(), begun + ", " + second);
        assertEquals(1, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against a stream that never gets another event: its caller disconnected, reconnected
    // after the request was abandoned, and was attached to the abandoned request.
    @Example
    void callerThatReconnectsLateReceivesTheRemainder() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 1_000, 250);
        begun.leave();
        system.run(3_000);
        RecordedAnswer rest = system.entry("a").ask(id, begun.tokens(), new RecordedAnswer());
        system.run(6_000);
        assertTrue(rest.isWhole(), rest.toString());
        assertEquals(SimulatedEngine.answer(1_000), begun.text() + rest.text());
    }
}
