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
package io.trailladder.core.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Who gives way when the callers of one organisation read too slowly for all. */
class AnswerChoiceTest {
    @Example
    void manySlowCallersOfOneOrganisationDoNotCostTheOthersTheirAnswers() {
        List<WaitingAnswer> waiting = new ArrayList<>();
        for (int key = 0; key < 500; key++) {
            waiting.add(new WaitingAnswer(key, "slow", 100, false));
        }
        waiting.add(new WaitingAnswer(500, "other", 5_000, true));
        List<WaitingAnswer> chosen = AnswerChoice.answersToEnd(waiting, 40_000);
        assertEquals(400, chosen.size());
        assertTrue(chosen.stream().allMatch(answer -> answer.organisation().equals("slow")));
    }

    @Example
    void resumableStreamsAreEndedFirstLargestFirst() {
        List<WaitingAnswer> waiting =
                List.of(
                        new WaitingAnswer(0, "one", 900, false),
                        new WaitingAnswer(1, "one", 100, true),
                        new WaitingAnswer(2, "one", 300, true));
        assertEquals(List.of(2, 1, 0), keys(AnswerChoice.answersToEnd(waiting, 1_300)));
        assertEquals(List.of(2), keys(AnswerChoice.answersToEnd(waiting, 300)));
    }

    @Example
    void organisationsWithEqualReservationsLoseAnswersAlternately() {
        List<WaitingAnswer> waiting = new ArrayList<>();
        for (int key = 0; key < 4; key++) {
            waiting.add(new WaitingAnswer(key, "one", 100, true));
            waiting.add(new WaitingAnswer(10 + key, "two", 100, true));
        }
        List<Integer> chosen = keys(AnswerChoice.answersToEnd(waiting, 400));
        assertEquals(List.of(0, 10, 1, 11), chosen);
    }

    @Example
    void allAreEndedIfTheyDoNotSuffice() {
        List<WaitingAnswer> waiting = List.of(new WaitingAnswer(7, "", 10, false));
        assertEquals(List.of(7), keys(AnswerChoice.answersToEnd(waiting, 1_000)));
        assertEquals(List.of(), keys(AnswerChoice.answersToEnd(waiting, 0)));
    }

    private static List<Integer> keys(List<WaitingAnswer> answers) {
        return answers.stream().map(WaitingAnswer::key).toList();
    }
}
