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
package io.trailladder.core.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.pipeline.EventOrder.Position;
import java.math.BigInteger;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.BigRange;
import net.jqwik.api.constraints.Size;

/** Guards against events of a stream that are delivered twice, and against breaking whole ones. */
class EventOrderProperties {
    private final EventSteps steps = new EventSteps();

    private EventOrder order(String resumedAfter) {
        return new EventOrder(steps, "s", resumedAfter);
    }

    private static void assertInOrder(EventOrder order, String... ids) {
        for (String id : ids) {
            assertEquals(Position.NEXT, order.received(id), id);
        }
    }

    private static void assertRepeated(EventOrder order, String... ids) {
        for (String id : ids) {
            assertEquals(Position.REPEATED, order.received(id), id);
        }
    }

    @Property
    void numbersThatRiseAreInOrder(
            @ForAll @Size(min = 1, max = 20)
                    List<@BigRange(min = "1", max = "99999999999999999999") BigInteger> steps) {
        EventOrder order = order("");
        BigInteger id = BigInteger.ZERO;
        for (BigInteger step : steps) {
            id = id.add(step);
            assertInOrder(order, id.toString());
            assertRepeated(order, id.toString(), id.subtract(step).toString());
        }
    }

    @Example
    void numbersAreComparedByValue() {
        EventOrder order = order("9");
        assertRepeated(order, "9", "09", "8");
        assertInOrder(order, "10");
        assertRepeated(order, "9", "010");
    }

    @Example
    void otherIdsAreComparedWithTheLastAndTheFirst() {
        EventOrder order = order("");
        assertInOrder(order, "c", "b", "7", "a");
        assertRepeated(order, "a", "c");
        assertInOrder(order, "b");
    }

    @Example
    void theEventAfterWhichACallerResumesIsDelivered() {
        EventOrder order = order("b");
        assertRepeated(order, "b");
        assertInOrder(order, "a", "c", "d");
    }

    @Example
    void eventsWithoutIdChangeNothing() {
        EventOrder order = order("3");
        assertInOrder(order, "", "4", "");
        assertRepeated(order, "4");
    }

    @Example
    void eventIsMissingWhereAnAnswerResumesTooLate() {
        EventOrder order = order("");
        assertInOrder(order, "1", "2", "3");
        order.answerBegins();
        assertEquals(Position.AFTER_A_GAP, order.received("5"));
        order.answerBegins();
        assertInOrder(order, "4", "5");
        EventOrder resumedByCaller = order("7");
        assertEquals(Position.AFTER_A_GAP, resumedByCaller.received("9"));
        assertInOrder(resumedByCaller, "8");
    }

    /** Guards against breaking off streams whose events carry several tokens. */
    @Example
    void noEventIsMissingWhereIdsRiseInLargerSteps() {
        assertInOrder(order(""), "1", "2", "3", "5", "6", "7", "8");
        assertInOrder(order("8"), "11");
        EventOrder later = order("");
        assertInOrder(later, "1", "2", "3");
        later.answerBegins();
        assertInOrder(later, "5");
    }

    @Example
    void noEventIsMissingBeforeItIsKnownHowIdsRise() {
        assertInOrder(order("3"), "6");
        EventOrder order = order("");
        assertInOrder(order, "4", "5");
        order.answerBegins();
        assertInOrder(order, "9");
    }

    /** Guards against a missing event at a process that starts after one that saw how ids rise. */
    @Example
    void eventIsMissingWhereOthersRanAndNoLargerStepIsRecorded() {
        steps.othersRan();
        assertEquals(Position.AFTER_A_GAP, order("3").received("6"));
        steps.recorded(Set.of("other"));
        assertEquals(Position.AFTER_A_GAP, order("3").received("6"));
        assertEquals(Set.of("other"), steps.uneven());
    }

    /** Guards against breaking off sound streams by a record that tells less than what was seen. */
    @Example
    void noEventIsMissingWhereLargerStepsAreRecordedOrSeen() {
        steps.othersRan();
        steps.recorded(Set.of("s"));
        assertInOrder(order("3"), "6", "8");
        steps.recorded(Set.of());
        assertInOrder(order("8"), "11");
        assertEquals(Set.of("s"), steps.uneven());
    }

    /** Guards against a service taken for uneven without end because of one answer. */
    @Example
    void consecutiveIdsThatAreSeenGoBeforeTheRecord() {
        steps.othersRan();
        steps.recorded(Set.of("s"));
        assertInOrder(order("3"), "6", "7");
        assertInOrder(order("3"), "6", "7");
        assertEquals(Position.AFTER_A_GAP, order("3").received("6"));
        assertEquals(Set.of(), steps.uneven());
    }

    @Example
    void servicesAreJudgedByTheirOwnIds() {
        assertInOrder(order(""), "1", "3", "5");
        EventOrder other = new EventOrder(steps, "other", "");
        assertInOrder(other, "1", "2", "3");
        other.answerBegins();
        assertEquals(Position.AFTER_A_GAP, other.received("5"));
    }
}
