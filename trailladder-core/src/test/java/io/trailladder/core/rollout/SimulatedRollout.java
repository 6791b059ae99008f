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

import io.trailladder.core.rollout.RolloutController.Fleet;
import io.trailladder.core.rollout.RolloutController.Step;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * A simulated roll-out over many processes in virtual time. Each process sends requests to
 * upstreams of two versions and sends its observations to a leader with delay and loss; the leader,
 * links and processes fail by schedule.
 */
final class SimulatedRollout {
    private static final String SERVICE = "s";
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final int STEP_MILLIS = 20;
    private static final int DIGEST_MILLIS = 200;
    private static final double FIRST_MILLIS = 60;
    private static final int RUN_MILLIS = 400;
    private static final int ROUTES = 3;
    private static final double OLD_FAILS = 0.004;

    /** Length of a time at whose end all answers of requests sent in it come, in milliseconds. */
    private static final int DELAY_MILLIS = 400;

    /**
     * The behaviour of the new version.
     *
     * @param fails share of its answers that are failures
     * @param slow share of its answers that are slow
     * @param slowFactor factor by which these are slower
     * @param fromMillis time after the order from which it is bad, in milliseconds
     * @param aboveRunning it is bad only while an upstream has more requests in progress than this
     * @param route the only route that it is bad on; negative for all
     */
    record Version(
            double fails,
            double slow,
            double slowFactor,
            int fromMillis,
            int aboveRunning,
            int route) {
        static final Version GOOD = new Version(OLD_FAILS, 0, 1, 0, -1, -1);

        static Version failing(double part) {
            return new Version(part, 0, 1, 0, -1, -1);
        }

        boolean isBadNow(int sinceMillis, int running, int onRoute) {
            return sinceMillis >= fromMillis
                    && running > aboveRunning
                    && (route < 0 || route == onRoute);
        }
    }

    /**
     * The faults, by time after the order; negative times for never.
     *
     * @param maxOrderDelayMillis longest delay with which a process reads the order, in
     *     milliseconds
     */
    record Faults(
            int leaderLostMillis,
            int partitionFromMillis,
            int partitionedThirds,
            int restartEveryMillis,
            int maxOrderDelayMillis) {
        static final Faults NONE = new Faults(-1, -1, 0, 0);

        Faults(int leaderLostMillis, int cutFromMillis, int cutParts, int restartEveryMillis) {
            this(leaderLostMillis, cutFromMillis, cutParts, restartEveryMillis, 0);
        }
    }

    private record Due(double at, Runnable task) {}

    /** One process. */
    private final class Member {
        private Rollout rollout;
        private RolloutController controller;
        private final Map<Integer, List<RouteEvidence>> evidenceByProcess = new HashMap<>();
        private boolean isolated;

        Member() {
            rollout = newView();
        }

        private Rollout newView() {
            return new Rollout(order, ExposureLedger.of(SHARE, ALLOWANCE, random), now);
        }

        void delayOrder(int lateMillis) {
            now = lateMillis;
            rollout = newView();
            now = 0;
        }

        /** Restarts with the record in the store only, when no peer can report more. */
        void restartWithoutPeers() {
            rollout = Rollout.ofUnknownAge(order, ExposureLedger.of(SHARE, ALLOWANCE, random), now);
            rollout.recorded(status, now);
            evidenceByProcess.clear();
            controller = null;
        }

        void restart() {
            rollout = newView();
            rollout.received(
                    new RolloutUpdate(order, RolloutPhase.SAMPLING, deadline - now, 0, List.of()),
                    now);
            rollout.recorded(status, now);
            evidenceByProcess.clear();
            controller = null;
        }
    }

    /** Share of the requests that a bad version may get, as a platform sets it. */
    static final double SHARE = 0.1;

    static final double ALLOWANCE = 50;

    /**
     * Time after the 50th bad answer within which a bad version must get no more requests, in ms.
     */
    static final int MAX_EXPOSURE_AFTER_BAD_MILLIS = 5_000;

    private static final int BAD_ANSWERS_LIMIT = 50;

    private final Version version;
    private final Faults faults;
    private final SplittableRandom random;
    private final RolloutOrder order;
    private final long deadline;
    private final List<Member> processes = new ArrayList<>();
    private final List<Upstream> serving = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparing(Due::at));
    private RolloutStatus status = RolloutStatus.none(SERVICE);
    private int leader;
    private int leaderFromMillis = 500;
    private long now;
    private long revision = 10;
    private int total;
    private int exposed;
    private int badAnswers;
    private long badLimitMillis = -1;
    private long lastExposedMillis = -1;
    private long resultMillis = -1;
    private int restartAllMillis = -1;
    private int delayEveryMillis;
    private int delayedRequests;
    private int interruptedRequests;

    SimulatedRollout(Version version, Faults faults, int count, int durationMillis, long seed) {
        this.version = version;
        this.faults = faults;
        this.random = new SplittableRandom(seed);
        this.order = new RolloutOrder(SERVICE, NEW, durationMillis, revision);
        this.deadline = durationMillis;
        for (int i = 0; i < count; i++) {
            processes.add(new Member());
        }
        processes.forEach(process -> process.rollout = process.newView());
        if (faults.maxOrderDelayMillis() > 0) {
            processes.forEach(
                    process -> process.delayOrder(random.nextInt(faults.maxOrderDelayMillis())));
        }
        for (int i = 0; i < 12; i++) {
            serving.add(upstream("a" + i, OLD));
            serving.add(upstream("b" + i, NEW));
        }
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, SERVICE, "z", "h:1", 8, false, false, 0, version, 0, 0);
    }

    /**
     * Simulates the time up to the deadline, and the time after it in which no requests to a bad
     * version may follow.
     */
    SimulatedRollout run(double perSecond) {
        for (now = 0; now < deadline + MAX_EXPOSURE_AFTER_BAD_MILLIS; now += STEP_MILLIS) {
            injectFaults();
            arrivals(perSecond);
            while (!due.isEmpty() && due.peek().at() < now + STEP_MILLIS) {
                due.remove().task().run();
            }
            if (now % DIGEST_MILLIS == 0) {
                digests();
            }
        }
        return this;
    }

    State state() {
        return status.state();
    }

    /** Returns when the result was recorded, in milliseconds; negative if it was not. */
    long resultMillis() {
        return resultMillis;
    }

    int exposed() {
        return exposed;
    }

    double exposureBound() {
        return SHARE * total + ALLOWANCE;
    }

    /** Returns how many requests had to wait for the deadline. */
    int delayedRequests() {
        return delayedRequests;
    }

    /** Returns how many requests were in progress at the old version when it stopped. */
    int interruptedRequests() {
        return interruptedRequests;
    }

    /**
     * Returns how long after the 50th bad answer the new version still got requests, in
     * milliseconds; 0 if it got none.
     */
    long exposureAfterBadMillis() {
        return badLimitMillis < 0 ? 0 : Math.max(0, lastExposedMillis - badLimitMillis);
    }

    /** Delays the answers of both versions again and again, at all processes. */
    SimulatedRollout delayingEvery(int millis) {
        delayEveryMillis = millis;
        return this;
    }

    private long delayMillis() {
        return delayEveryMillis > 0 ? Math.max(0, DELAY_MILLIS - now % delayEveryMillis) : 0;
    }

    /** Makes all processes restart at the same moment. */
    SimulatedRollout restartingAllAt(int millis) {
        restartAllMillis = millis;
        return this;
    }

    private void injectFaults() {
        if (now == restartAllMillis) {
            processes.forEach(Member::restartWithoutPeers);
            leaderFromMillis = (int) now + 4_000;
        }
        if (now == faults.leaderLostMillis()) {
            processes.get(leader).restart();
            leader = (leader + 1) % processes.size();
            leaderFromMillis = (int) now + 4_000;
        }
        if (faults.restartEveryMillis() > 0 && now % faults.restartEveryMillis() == 0 && now > 0) {
            processes.get(random.nextInt(processes.size())).restart();
        }
        boolean cutNow = faults.partitionFromMillis() >= 0 && now >= faults.partitionFromMillis();
        for (int i = 0; i < processes.size(); i++) {
            processes.get(i).isolated = cutNow && i % 3 < faults.partitionedThirds() && i != leader;
        }
    }

    private void arrivals(double perSecond) {
        double expected = perSecond * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < count; i++) {
            send(processes.get(random.nextInt(processes.size())), random.nextInt(ROUTES), true);
        }
    }

    /** Sends a request; one that fails at its first upstream is repeated once. */
    private void send(Member process, int route, boolean first) {
        List<Upstream> candidates = process.rollout.admitted(serving, first, now);
        if (candidates.isEmpty()) {
            long waitMillis = process.rollout.waitMillis(now);
            if (waitMillis > 0) {
                delayedRequests++;
                due.add(new Due(now + waitMillis + STEP_MILLIS, () -> send(process, route, first)));
            }
            return;
        }
        Upstream upstream = candidates.get(random.nextInt(candidates.size()));
        boolean isTarget = upstream.version().equals(NEW);
        Rollout sentBy = process.rollout;
        sentBy.chosen(upstream);
        if (!isTarget && status.state() == State.COMPLETED) {
            return; // the old version has stopped, so no request reaches it
        }
        sentBy.sent();
        if (now <= deadline) {
            total++;
            exposed += isTarget ? 1 : 0;
        }
        if (isTarget && status.state() != State.COMPLETED && !process.isolated) {
            lastExposedMillis = now;
        }
        int load = running.merge(upstream.id(), 1, Integer::sum);
        boolean badNow = isTarget && version.isBadNow((int) now, load, route);
        boolean fails = random.nextDouble() < (badNow ? version.fails() : OLD_FAILS);
        boolean slow = badNow && random.nextDouble() < version.slow();
        double usualMillis = FIRST_MILLIS * StrictMath.exp(0.4 * (random.nextDouble() - 0.5));
        double tookMillis =
                (slow ? usualMillis * version.slowFactor() : usualMillis) + delayMillis();
        due.add(
                new Due(
                        now + tookMillis + RUN_MILLIS,
                        () -> {
                            ended(sentBy, upstream, route, fails, slow, tookMillis);
                            if (fails && first) {
                                send(process, route, false);
                            }
                        }));
    }

    private void ended(
            Rollout sentBy,
            Upstream upstream,
            int route,
            boolean fails,
            boolean slow,
            double tookMillis) {
        running.merge(upstream.id(), -1, Integer::sum);
        sentBy.answered(
                upstream,
                new AnswerObservation("r" + route, fails, tookMillis, FIRST_MILLIS, 0, true),
                now);
        if (upstream.version().equals(NEW) && (fails || slow) && isBadVersion()) {
            badAnswers++;
            if (badAnswers == BAD_ANSWERS_LIMIT) {
                badLimitMillis = now;
            }
        }
    }

    private boolean isBadVersion() {
        return !version.equals(Version.GOOD);
    }

    private void digests() {
        Member leading = processes.get(leader);
        boolean leads = now >= leaderFromMillis;
        if (leads) {
            lead(leading);
        }
        for (int i = 0; i < processes.size(); i++) {
            Member process = processes.get(i);
            if (i == leader || process.isolated || !leads) {
                continue;
            }
            int from = i;
            // updates sent to an incarnation that ends do not reach the next one
            Rollout follower = process.rollout;
            Rollout leaderView = leading.rollout;
            RolloutUpdate fromFollower = follower.update(follower.evidence(), now);
            RolloutUpdate fromLeader = leaderView.update(List.of(), now);
            due.add(
                    new Due(
                            now + 20 + random.nextInt(230),
                            () -> {
                                if (leading.rollout.equals(leaderView)) {
                                    leaderView.received(fromFollower, now);
                                    leading.evidenceByProcess.put(from, fromFollower.evidence());
                                }
                            }));
            due.add(
                    new Due(
                            now + 20 + random.nextInt(230),
                            () -> follower.received(fromLeader, now)));
        }
    }

    private int oldRunning() {
        return running.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("a"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private void lead(Member leading) {
        if (leading.controller == null) {
            leading.controller = new RolloutController(leading.rollout);
        }
        Stream<RouteEvidence> others =
                leading.evidenceByProcess.values().stream().flatMap(List::stream);
        List<RouteEvidence> all =
                RouteEvidence.sum(Stream.concat(leading.rollout.evidence().stream(), others));
        Step step = leading.controller.next(all, status, new Fleet(12, 12, oldRunning()), now);
        leading.rollout.lead(step.phase(), now);
        step.record().ifPresent(this::record);
        leading.rollout.recorded(status, now);
    }

    private void record(State state) {
        status = new RolloutStatus(SERVICE, NEW, state, ++revision);
        if (state != State.IN_PROGRESS) {
            resultMillis = now;
            interruptedRequests = state == State.COMPLETED ? oldRunning() : 0;
        }
    }
}
