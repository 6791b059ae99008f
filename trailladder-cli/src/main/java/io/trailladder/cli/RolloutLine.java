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
package io.trailladder.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.Locale;

/**
 * The state of one roll-out as its leader last reported it.
 *
 * @param time when the leader reported it
 * @param step the fields of the reported {@code RolloutStep}
 */
record RolloutLine(Instant time, JsonNode step) {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double PERCENT = 100.0;
    private static final String[] VERSIONS = {"old", "new"};

    static RolloutLine of(DecisionLine line) {
        return new RolloutLine(line.time(), line.fields());
    }

    String service() {
        return step.path("service").asText();
    }

    /**
     * Returns the reported fields with the sums of both versions and their confidence intervals.
     */
    ObjectNode json() {
        ObjectNode json = step.deepCopy();
        json.put("time", time.toString());
        json.put("share", share());
        for (String version : VERSIONS) {
            ObjectNode sum = json.putObject(version);
            int answers = sum(version, "answers");
            sum.put("answers", answers);
            for (String sort : new String[] {"bad", "slow"}) {
                Interval interval = Interval.of(sum(version, sort), answers);
                sum.put(sort, sum(version, sort));
                sum.put(sort + "From", interval.from());
                sum.put(sort + "To", interval.to());
            }
        }
        return json;
    }

    void print(PrintWriter out) {
        long left = step.path("leftMs").asLong();
        out.printf(
                Locale.ROOT,
                "%s to %s: %s, recorded %s, %s%n",
                service(),
                step.path("version").asText(),
                step.path("phase").asText(),
                step.path("recorded").asText(),
                left < 0
                        ? "no time left, or not known"
                        : String.format(Locale.ROOT, "%.1f s left", left / MILLIS_PER_SECOND));
        out.printf(
                Locale.ROOT,
                "  the new version gave %.3f of the answers, bound %.3f%n",
                share(),
                step.path("bound").asDouble());
        for (String version : VERSIONS) {
            int bad = sum(version, "bad");
            int slow = sum(version, "slow");
            print(out, version + ", all routes", sum(version, "answers"), bad, slow);
        }
        for (JsonNode route : step.path("routes")) {
            for (String version : VERSIONS) {
                String name = version + ", " + route.path("route").asText();
                int answers = count(route, version, "answers");
                int bad = count(route, version, "bad");
                print(out, name, answers, bad, count(route, version, "slow"));
            }
        }
        out.println("  why: " + step.path("reason").asText());
    }

    private static void print(PrintWriter out, String name, int answers, int bad, int slow) {
        out.printf(
                Locale.ROOT,
                "  %-32s %7d answers  bad %d (%s)  slow %d (%s)%n",
                name,
                answers,
                bad,
                Interval.of(bad, answers),
                slow,
                Interval.of(slow, answers));
    }

    private double share() {
        int target = sum("new", "answers");
        return target / Math.max(1.0, target + sum("old", "answers"));
    }

    private int sum(String version, String field) {
        int sum = 0;
        for (JsonNode route : step.path("routes")) {
            sum += count(route, version, field);
        }
        return sum;
    }

    private static int count(JsonNode route, String version, String field) {
        return route.path(version).path(field).asInt();
    }

    /**
     * A Wilson score interval of a rate at a confidence level of 95%.
     *
     * @param from the lower end, from 0 to 1
     * @param to the upper end, from 0 to 1
     */
    private record Interval(double from, double to) {
        private static final double Z_SCORE = 1.96;

        static Interval of(int some, int all) {
            if (all == 0) {
                return new Interval(0, 1);
            }
            double rate = (double) some / all;
            double square = Z_SCORE * Z_SCORE;
            double middle = rate + square / (2 * all);
            double half =
                    Z_SCORE
                            * Math.sqrt(
                                    rate * (1 - rate) / all + square / (4.0 * all * (double) all));
            double scale = 1 + square / all;
            return new Interval(
                    Math.max(0, (middle - half) / scale), Math.min(1, (middle + half) / scale));
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.1f to %.1f%%", PERCENT * from, PERCENT * to);
        }
    }
}
