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
package io.trailladder.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.VersionEvaluator.Verdict;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

class VersionEvaluatorTest {
    private static Verdict evaluate(int targetBad, int target, int oldBad, int old) {
        return VersionEvaluator.evaluate(
                        List.of(
                                new RouteEvidence(
                                        "r",
                                        new AnswerCount(old, oldBad),
                                        new AnswerCount(target, targetBad))))
                .verdict();
    }

    @Example
    void versionIsGoodOnlyAfterEnoughAnswers() {
        assertEquals(Verdict.UNDECIDED, evaluate(0, 20, 0, 500));
        assertEquals(Verdict.GOOD, evaluate(0, 60, 0, 500));
    }

    @Example
    void fourFailuresOfEightAreBadAndThreeAreUndecided() {
        assertEquals(Verdict.UNDECIDED, evaluate(3, 3, 0, 100));
        assertEquals(Verdict.BAD, evaluate(4, 8, 1, 200));
    }

    @Example
    void failuresOfBothVersionsAreNotBad() {
        assertEquals(Verdict.UNDECIDED, evaluate(20, 60, 180, 500));
        assertEquals(Verdict.GOOD, evaluate(60, 200, 180, 600));
    }

    private static Verdict evaluateSlow(int targetSlow) {
        AnswerCount old = new AnswerCount(3_000, 6, 240);
        AnswerCount target = new AnswerCount(250, 0, targetSlow);
        return VersionEvaluator.evaluate(List.of(new RouteEvidence("r", old, target))).verdict();
    }

    /** New upstreams have read no prompt before; much slower ones are bad all the same. */
    @Example
    void someMoreSlowAnswersAreToleratedAndManyAreBad() {
        assertEquals(Verdict.GOOD, evaluateSlow(40));
        assertEquals(Verdict.BAD, evaluateSlow(100));
    }

    @Example
    void versionIsUndecidedWithoutAnswersOnALargeRoute() {
        RouteEvidence seen =
                new RouteEvidence("a", new AnswerCount(400, 1), new AnswerCount(100, 0));
        RouteEvidence unseen =
                new RouteEvidence("b", new AnswerCount(300, 0), new AnswerCount(2, 0));
        assertEquals(Verdict.UNDECIDED, VersionEvaluator.evaluate(List.of(seen, unseen)).verdict());
    }

    @Example
    void faultOnOneRouteIsBad() {
        RouteEvidence fine =
                new RouteEvidence("a", new AnswerCount(900, 3), new AnswerCount(300, 1));
        RouteEvidence faulty =
                new RouteEvidence("b", new AnswerCount(40, 0), new AnswerCount(9, 6));
        assertEquals(Verdict.BAD, VersionEvaluator.evaluate(List.of(fine, faulty)).verdict());
    }

    /** Asked of a good version: hardly ever found bad, though it is looked at after each answer. */
    @Example
    void atMostOneGoodVersionInAHundredIsFoundBad() {
        int foundBad = 0;
        SplittableRandom random = new SplittableRandom(20261202);
        for (int version = 0; version < 1_000; version++) {
            double rate = 0.02 * random.nextDouble();
            AnswerCount old = AnswerCount.NONE;
            AnswerCount target = AnswerCount.NONE;
            boolean bad = false;
            for (int answer = 0; answer < 400 && !bad; answer++) {
                for (int i = 0; i < 12; i++) {
                    old = old.with(random.nextDouble() < rate);
                }
                target = target.with(random.nextDouble() < rate);
                bad =
                        evaluate(target.bad(), target.answers(), old.bad(), old.answers())
                                == Verdict.BAD;
            }
            foundBad += bad ? 1 : 0;
        }
        assertTrue(foundBad <= 10, foundBad + " of 1,000 good versions found bad");
    }

    @Example
    void tailsAreThoseOfTheBinomialDistribution() {
        assertEquals(0.5, Binomial.atLeast(1, 1, 0.5), 1e-12);
        assertEquals(0.875, Binomial.atMost(2, 3, 0.5), 1e-12);
        assertEquals(1, Binomial.atLeast(0, 10, 0.1), 1e-12);
        assertEquals(Math.pow(0.9, 100), Binomial.atMost(0, 100, 0.1), 1e-12);
        assertTrue(Binomial.atMost(100, 100_000, 0.5) < 1e-100);
    }
}
