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
 * Judges a version by its answers against those of the version before it, at the same time and on
 * the same routes.
 *
 * <p>Both tests are exact binomial tails. A version is bad if so many bad answers would hardly come
 * about at the rate of the old version; it is good if a rate that is higher by {@link #TOLERATED_BAD_RATE}
 * would hardly have brought so few. What strikes both versions, such as a burst or a slow data
 * centre, raises the old rate as well and so speaks against neither.
 *
 * @since 0.4
 */
public final class VersionEvaluator {
    /**
     * How likely a good version's answers may look bad by chance at one look: with some hundred
     * looks at answers that depend on each other, at most one good version in a hundred is rolled
     * back.
     */
    private static final double FALSE_ALARM_PROBABILITY = 2e-5;

    /** Bad answers below which nothing is found bad: three may have one cause. */
    private static final int MIN_BAD_ANSWERS = 4;

    /** How likely a version that is worse by {@link #TOLERATED_BAD_RATE} may be taken for good. */
    private static final double FALSE_PASS_PROBABILITY = 0.02;

    /**
     * How likely at most so many bad answers of a good version are, all over or on one route, for
     * it not to be taken for good yet: a good one is left for that about once in fifty roll-outs,
     * and of those that fail 2 to 5% of their answers most are not completed.
     */
    private static final double SUSPECT_PROBABILITY = 0.01;

    /** By how much more of its answers a version may fail and still count as good. */
    private static final double TOLERATED_BAD_RATE = 0.1;

    /**
     * By how much more of its answers a version may give slowly: a new upstream has read no prompt
     * before, and what is predicted of it may be off.
     */
    private static final double TOLERATED_SLOW_RATE = 0.1;

    /** Bad answers below which nothing is suspect: one may be chance. */
    private static final int MIN_SUSPECT_ANSWERS = 2;

    /** Answers of the target without which it is not taken for good. */
    private static final int MIN_ANSWERS = 30;

    /** Answers of the target on each route without which it is not taken for good. */
    private static final int MIN_ANSWERS_PER_ROUTE = 6;

    /** Part of a service's answers below which a route need not have been seen by itself. */
    private static final double SMALL_ROUTE_SHARE = 0.02;

    private VersionEvaluator() {}

    /** What the evidence says. */
    public enum Verdict {
        /** The version fails more often than the one before it. */
        BAD,
        /** It does not. */
        GOOD,
        /** Not enough was seen. */
        UNDECIDED
    }

    /**
     * A verdict and what led to it.
     *
     * @param verdict the verdict
     * @param reason the figures behind it
     */
    public record Evaluation(Verdict verdict, String reason) {}

    /**
     * Judges a version.
     *
     * @param evidence what was seen, by route
     * @return the verdict with its reason
     */
    public static Evaluation evaluate(List<RouteEvidence> evidence) {
        RouteEvidence all = total(evidence);
        Optional<RouteEvidence> bad =
                Stream.concat(evidence.stream(), Stream.of(all))
                        .filter(VersionEvaluator::isBad)
                        .findFirst();
        if (bad.isPresent()) {
            return new Evaluation(Verdict.BAD, figures(bad.get()));
        }
        Optional<String> missing = missing(evidence, all);
        return missing.isPresent()
                ? new Evaluation(Verdict.UNDECIDED, missing.get())
                : new Evaluation(Verdict.GOOD, figures(all));
    }

    /**
     * Tells whether some of the evidence shows a version to be bad.
     *
     * @param evidence what was seen, by route
     * @return true if one route, or all together, show it
     */
    public static boolean isBad(List<RouteEvidence> evidence) {
        return evaluate(evidence).verdict() == Verdict.BAD;
    }

    private static RouteEvidence total(List<RouteEvidence> evidence) {
        return evidence.stream()
                .reduce(
                        new RouteEvidence("all routes", AnswerCount.NONE, AnswerCount.NONE),
                        RouteEvidence::plus);
    }

    private static boolean isBad(RouteEvidence seen) {
        return isBeyondChance(seen, MIN_BAD_ANSWERS, FALSE_ALARM_PROBABILITY);
    }

    /** Tells whether more answers are bad, or more are slow, than those of the old version are. */
    private static boolean isBeyondChance(RouteEvidence seen, int least, double chance) {
        AnswerCount old = seen.old();
        AnswerCount target = seen.target();
        if (isBeyondChance(target.bad(), target, rate(old.bad(), old), least, chance)) {
            return true;
        }
        boolean same = target.slow() == target.bad() && old.slow() == old.bad();
        double usual = Math.min(1, rate(old.slow(), old) + TOLERATED_SLOW_RATE);
        return !same && isBeyondChance(target.slow(), target, usual, least, chance);
    }

    private static boolean isBeyondChance(
            int some, AnswerCount target, double rate, int least, double chance) {
        return some >= least && Binomial.atLeast(some, target.answers(), rate) < chance;
    }

    /**
     * The rate to be expected of a version as good as the old one, some of whose answers are bad.
     */
    private static double rate(int some, AnswerCount old) {
        return (some + 1.0) / (old.answers() + 2.0);
    }

    private static Optional<String> missing(List<RouteEvidence> evidence, RouteEvidence all) {
        if (all.target().answers() < MIN_ANSWERS) {
            return Optional.of(
                    String.format(
                            Locale.ROOT,
                            "%d answers of the new version, expected at least %d",
                            all.target().answers(),
                            MIN_ANSWERS));
        }
        double small = SMALL_ROUTE_SHARE * all.old().answers();
        for (RouteEvidence route : evidence) {
            if (route.old().answers() > small && route.target().answers() < MIN_ANSWERS_PER_ROUTE) {
                return Optional.of("too few answers on " + figures(route));
            }
        }
        if (!isShownGood(all.target(), rate(all.old().bad(), all.old()))) {
            return Optional.of("not yet sure by " + figures(all));
        }
        double suspect = SUSPECT_PROBABILITY / (evidence.size() + 1);
        return Stream.concat(evidence.stream(), Stream.of(all))
                .filter(seen -> isBeyondChance(seen, MIN_SUSPECT_ANSWERS, suspect))
                .findFirst()
                .map(seen -> "suspect by " + figures(seen));
    }

    private static boolean isShownGood(AnswerCount target, double oldRate) {
        double worse = Math.min(1, oldRate + TOLERATED_BAD_RATE);
        return Binomial.atMost(target.bad(), target.answers(), worse) < FALSE_PASS_PROBABILITY;
    }

    private static String figures(RouteEvidence seen) {
        return String.format(
                Locale.ROOT,
                "%s: %d of %d answers of the new version bad and %d slow, %d of %d and %d of the old",
                seen.route(),
                seen.target().bad(),
                seen.target().answers(),
                seen.target().slow(),
                seen.old().bad(),
                seen.old().answers(),
                seen.old().slow());
    }
}
