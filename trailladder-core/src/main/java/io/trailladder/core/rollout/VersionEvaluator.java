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

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Evaluates a version by comparing its answers with those of the version before it, given at the
 * same time and on the same routes.
 *
 * <p>Both tests use exact binomial tails. A version is bad if so many bad answers are improbable at
 * the rate of the old version; it is good if so few are improbable at a rate that is higher by
 * {@link #TOLERATED_BAD_RATE}. A cause that affects both versions, such as a burst or a slow data
 * centre, raises the rate of the old version as well and therefore counts against neither.
 *
 * @since 0.4
 */
public final class VersionEvaluator {
    /**
     * Probability below which so many bad answers of a good version make it bad. A roll-out makes
     * some hundred such tests on answers that depend on each other; with this value at most one
     * good version in a hundred is rolled back.
     */
    private static final double FALSE_ALARM_PROBABILITY = 2e-5;

    /** Bad answers needed to find a version bad: three may have one cause. */
    private static final int MIN_BAD_ANSWERS = 4;

    /**
     * Probability with which a version that is worse by {@link #TOLERATED_BAD_RATE} may pass as
     * good.
     */
    private static final double FALSE_PASS_PROBABILITY = 0.02;

    /**
     * Probability below which so many bad answers of a good version, in total or on one route, keep
     * it from being found good yet. A good version is rolled back for this in about one of fifty
     * roll-outs; most versions that fail 2 to 5% of their answers are not completed.
     */
    private static final double SUSPECT_PROBABILITY = 0.01;

    /** Difference to the old rate of bad answers up to which a version counts as good. */
    private static final double TOLERATED_BAD_RATE = 0.1;

    /**
     * Difference to the old rate of slow answers that is tolerated: a new upstream has read no
     * prompt before, and the predictions for it may be inaccurate.
     */
    private static final double TOLERATED_SLOW_RATE = 0.1;

    /** Bad answers needed for a suspicion: one may be chance. */
    private static final int MIN_SUSPECT_ANSWERS = 2;

    /** Answers of the new version needed to find it good. */
    private static final int MIN_ANSWERS = 30;

    /** Answers of the new version on each route needed to find it good. */
    private static final int MIN_ANSWERS_PER_ROUTE = 6;

    /** Share of a service's answers up to which a route needs no answers of its own. */
    private static final double SMALL_ROUTE_SHARE = 0.02;

    private VersionEvaluator() {}

    /** Result of an evaluation. */
    public enum Verdict {
        /** The version gives more bad or slow answers than the one before it. */
        BAD,
        /** The version gives no more bad answers than the one before it, within the tolerance. */
        GOOD,
        /** The evidence is not sufficient. */
        UNDECIDED
    }

    /**
     * A verdict with its reason.
     *
     * @param verdict the verdict
     * @param reason the figures that led to it
     */
    public record Evaluation(Verdict verdict, String reason) {}

    /**
     * Evaluates a version.
     *
     * @param evidence what was observed, by route
     * @return the verdict with its reason
     */
    public static Evaluation evaluate(List<RouteEvidence> evidence) {
        RouteEvidence total = total(evidence);
        Optional<RouteEvidence> bad =
                Stream.concat(evidence.stream(), Stream.of(total))
                        .filter(VersionEvaluator::isBad)
                        .findFirst();
        if (bad.isPresent()) {
            return new Evaluation(Verdict.BAD, figures(bad.get()));
        }
        Optional<String> missing = missing(evidence, total);
        return missing.isPresent()
                ? new Evaluation(Verdict.UNDECIDED, missing.get())
                : new Evaluation(Verdict.GOOD, figures(total));
    }

    /**
     * Returns whether the evidence shows a version to be bad.
     *
     * @param evidence what was observed, by route
     * @return true if one route, or all together, show it
     */
    public static boolean isBad(List<RouteEvidence> evidence) {
        return evaluate(evidence).verdict() == Verdict.BAD;
    }

    private static RouteEvidence total(List<RouteEvidence> evidence) {
        return evidence.stream().reduce(RouteEvidence.none("all routes"), RouteEvidence::plus);
    }

    private static boolean isBad(RouteEvidence evidence) {
        return isBeyondChance(evidence, MIN_BAD_ANSWERS, FALSE_ALARM_PROBABILITY);
    }

    /**
     * Returns whether significantly more answers are bad, or slow, than those of the old version.
     */
    private static boolean isBeyondChance(RouteEvidence evidence, int minimum, double probability) {
        AnswerCount old = evidence.old();
        AnswerCount target = evidence.target();
        if (isBeyondChance(target.bad(), target, rate(old.bad(), old), minimum, probability)) {
            return true;
        }
        boolean slowEqualsBad = target.slow() == target.bad() && old.slow() == old.bad();
        double expected = Math.min(1, rate(old.slow(), old) + TOLERATED_SLOW_RATE);
        return !slowEqualsBad
                && isBeyondChance(target.slow(), target, expected, minimum, probability);
    }

    private static boolean isBeyondChance(
            int count, AnswerCount target, double rate, int minimum, double probability) {
        return count >= minimum && Binomial.atLeast(count, target.answers(), rate) < probability;
    }

    /**
     * Returns the rate to be expected of a version as good as the old one, by Laplace's rule of
     * succession.
     */
    private static double rate(int count, AnswerCount old) {
        return (count + 1.0) / (old.answers() + 2.0);
    }

    private static Optional<String> missing(List<RouteEvidence> evidence, RouteEvidence total) {
        if (total.target().answers() < MIN_ANSWERS) {
            return Optional.of(
                    String.format(
                            Locale.ROOT,
                            "%d answers of the new version, expected at least %d",
                            total.target().answers(),
                            MIN_ANSWERS));
        }
        double smallRouteAnswers = SMALL_ROUTE_SHARE * total.old().answers();
        for (RouteEvidence route : evidence) {
            if (route.old().answers() > smallRouteAnswers
                    && route.target().answers() < MIN_ANSWERS_PER_ROUTE) {
                return Optional.of("too few answers on " + figures(route));
            }
        }
        if (!isShownGood(total.target(), rate(total.old().bad(), total.old()))) {
            return Optional.of("not yet shown to be good: " + figures(total));
        }
        double suspectProbability = SUSPECT_PROBABILITY / (evidence.size() + 1);
        return Stream.concat(evidence.stream(), Stream.of(total))
                .filter(route -> isBeyondChance(route, MIN_SUSPECT_ANSWERS, suspectProbability))
                .findFirst()
                .map(route -> "suspect by " + figures(route));
    }

    private static boolean isShownGood(AnswerCount target, double oldRate) {
        double toleratedRate = Math.min(1, oldRate + TOLERATED_BAD_RATE);
        return Binomial.atMost(target.bad(), target.answers(), toleratedRate)
                < FALSE_PASS_PROBABILITY;
    }

    private static String figures(RouteEvidence evidence) {
        return String.format(
                Locale.ROOT,
                "%s: %d of %d answers of the new version bad and %d slow, %d of %d and %d of the old",
                evidence.route(),
                evidence.target().bad(),
                evidence.target().answers(),
                evidence.target().slow(),
                evidence.old().bad(),
                evidence.old().answers(),
                evidence.old().slow());
    }
}
