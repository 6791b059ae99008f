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

import io.trailladder.wire.PeerMessage.Header;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.RecordPut;
import io.trailladder.wire.RequestRecord;
import java.util.List;
import net.jqwik.api.Example;

/** A model request that must run at most once is not started again by another entry. */
class AtMostOnceMovesTest {
    private static final int TOKENS = 400;
    private static final Header ONCE = new Header("Trailladder-Run", "at-most-once");

    private final RecordedAnswer begun = new RecordedAnswer();

    private static void assertRanOnce(SimulatedEntries system) {
        assertEquals(1, system.engine.runs().size(), system.engine.runs().toString());
    }

    // Guards against a second run at the copy holder of a request marked as at-most-once.
    @Example
    void requestThatItsCallerMarkedRunsOnceAlthoughItsEntryIsLost() {
        SimulatedEntries system = new SimulatedEntries(3);
        system.entry("a").stream(TOKENS, begun, ONCE);
        system.run(500);
        system.kill("a");
        RecordedAnswer rest =
                system.entry("b").ask(begun.requestId(), begun.tokens(), new RecordedAnswer());
        system.run(5_000);
        assertRanOnce(system);
        assertTrue(rest.status() != 200, rest.toString());
    }

    // Guards against a second run at the successor of a request marked as at-most-once.
    @Example
    void requestThatItsCallerMarkedRunsOnceAlthoughItsEntryStops() {
        SimulatedEntries system = new SimulatedEntries(3);
        system.entry("a").stream(TOKENS, begun, ONCE);
        system.run(500);
        system.handOver("a");
        system.run(5_000);
        assertRanOnce(system);
        assertTrue(begun.bytes().contains("\"outcome\":\"unknown\""), begun.bytes());
    }

    // Guards against a second run of a request whose row is not repeatable.
    @Example
    void requestWhoseRowIsNotRepeatableRunsOnceAlthoughItsEntryIsLost() {
        SimulatedEntries system = new SimulatedEntries(3, SimulatedEntries.row(false));
        system.entry("a").stream(TOKENS, begun);
        system.run(500);
        system.kill("a");
        system.run(5_000);
        assertRanOnce(system);
    }

    // Guards against a second run of a request whose copy an entry of an earlier build sent.
    @Example
    void copyOfARequestThatIsNotRepeatableIsAnsweredWithUnknown() {
        SimulatedEntries system = new SimulatedEntries(3);
        system.entry("a").stream(TOKENS, begun);
        system.run(250);
        RecordPut put = system.sent("a", "b", RecordPut.class).get(0);
        system.table(SimulatedEntries.row(false));
        system.kill("a");
        system.run(100);
        RecordedAnswer rest =
                system.entry("c")
                        .ask(put.request().requestId(), begun.tokens(), new RecordedAnswer());
        system.run(2_000);
        assertRanOnce(system);
        assertEquals("unknown", rest.outcome(), rest.toString());
    }

    // Guards against a second run of a request that an entry of an earlier build hands over.
    @Example
    void handOverOfARequestThatIsNotRepeatableIsNotBegunAgain() {
        SimulatedEntries system = new SimulatedEntries(2, SimulatedEntries.row(false));
        RequestRecord request =
                new RequestRecord(
                        "c1",
                        SimulatedEntry.ORGANISATION,
                        SimulatedEntry.MODEL,
                        "p",
                        TOKENS,
                        false,
                        true,
                        0,
                        List.of(),
                        false);
        system.send("a", "b", new RecordHandOver(request));
        system.run(2_000);
        assertEquals(0, system.engine.runs().size(), system.engine.runs().toString());
        RecordedAnswer rest = system.entry("b").ask("c1", 0, new RecordedAnswer());
        system.run(2_000);
        assertEquals("unknown", rest.outcome(), rest.toString());
    }
}
