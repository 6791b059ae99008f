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

import io.trailladder.wire.PeerMessage.Forward;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.RecordPut;
import java.util.List;
import net.jqwik.api.Example;

/** A stream whose entry stops goes on at its heir, in every order of events that is forced here. */
class HandOverTest {
    private static final int TOKENS = 400;

    private final RecordedAnswer begun = new RecordedAnswer();

    /** Begins a stream at the first entry and has it run for a while. */
    private String begin(SimulatedEntries system, long millis) {
        system.entry("a").stream(TOKENS, begun);
        system.run(millis);
        assertTrue(begun.tokens() > 0, begun.toString());
        return begun.requestId();
    }

    private void assertWhole(RecordedAnswer rest) {
        assertTrue(rest.isWhole(), rest.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), begun.text() + rest.text());
    }

    // Guards against a caller that asks the heir before the hand-over is there and is told 404.
    @Example
    void callerWhoAsksTheHeirBeforeTheHandOverArrivesHasTheRest() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 250);
        system.hold("a", "b", 50);
        system.handOver("a");
        RecordedAnswer rest = system.entry("b").ask(id, begun.tokens(), new RecordedAnswer());
        system.run(3_000);
        assertWhole(rest);
    }

    // Guards against an answer that is passed on and ends early when its entry is lost, although
    // the request goes on at the entry that passes it on.
    @Example
    void entryThatPassesAnAnswerOnLooksAtItselfOnceItsPeerIsLost() {
        SimulatedEntries system = new SimulatedEntries(2);
        String id = begin(system, 250);
        RecordedAnswer passed = system.entry("b").ask(id, 0, new RecordedAnswer());
        system.run(100);
        assertTrue(passed.tokens() > 0, passed.toString());
        system.kill("a");
        system.run(5_000);
        assertTrue(passed.isWhole(), passed.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), passed.text());
    }

    // Guards against an entry that has handed over and takes the heir's copy up when asked for it.
    @Example
    void entryThatHasHandedOverDoesNotTakeTheHeirsCopyUpWhenAsked() {
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

    // Guards against an entry that has handed over and begins again when its heir is lost.
    @Example
    void entryThatHasHandedOverDoesNotTakeTheHeirsCopyUpWhenTheHeirIsLost() {
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
}
