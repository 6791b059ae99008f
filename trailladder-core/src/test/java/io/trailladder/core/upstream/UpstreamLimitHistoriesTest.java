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
package io.trailladder.core.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/**
 * Processes under one upstream's limit, in virtual time: what one learns reaches the others as late
 * as digests over two hops, and each has requests at random moments.
 */
class UpstreamLimitHistoriesTest {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long MAX_MESSAGE_DELAY_MILLIS = 450;
    private static final long ANSWER_MILLIS = 30;
    private static final long DIGEST_MILLIS = 200;
    private static final long REPORT_MILLIS = 1_000;
    private static final int[] PROCESSES = {2, 8, 80, 340};
    private static final double[] LIMITS = {0.05, 0.2, 1, 4, 20, 500};

    private static final Upstream UPSTREAM =
            new Upstream("w1", "m", "a", "127.0.0.1:1", 8, false, false, 0);

    /** One message under way, or an answer. */
    private record Event(long atMillis, Runnable task) {}

    /** Some processes and their ways to each other. */
    private static final class Processes {
        private final SplittableRandom random;
        private final List<UpstreamLimits> all = new ArrayList<>();
        private final long[] skewMillis;
        private final long[] reportUntil;
        private final boolean[] disconnected;
        private final boolean[] suspended;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
        private final List<Long> arrivals = new ArrayList<>();
        private LimitNotice answeredLimit;
        private int count;
        private long now = START_MILLIS;

        Processes(int count, double perSecond, long skewMillis, long seed) {
            this.random = new SplittableRandom(seed);
            this.answeredLimit = LimitNotice.of(perSecond);
            this.skewMillis = new long[count];
            this.disconnected = new boolean[count];
            this.suspended = new boolean[count];
            this.reportUntil = new long[count];
            this.count = count;
            for (int i = 0; i < count; i++) {
                this.skewMillis[i] = skewMillis == 0 ? 0 : random.nextLong(skewMillis);
                all.add(null);
                start(i);
            }
            int first = random.nextInt(count);
            all.get(first).answerReceived(UPSTREAM, answeredLimit, now - ANSWER_MILLIS, now);
        }

        /** Starts a process that knows nothing but its peers. */
        void start(int index) {
            long skew = skewMillis[index];
            UpstreamLimits limits =
                    new UpstreamLimits(() -> now + skew, upstream -> new SendSlotOrder(index, count));
            limits.onUpdate(upstream -> startReporting(index));
            all.set(index, limits);
        }

        /** Digests tell news again for a second, with what is believed by then. */
        private void startReporting(int sender) {
            boolean tellsAlready = reportUntil[sender] > now;
            reportUntil[sender] = now + REPORT_MILLIS;
            if (!tellsAlready) {
                report(sender);
            }
        }

        private void report(int sender) {
            if (reportUntil[sender] > now) {
                all.get(sender).report(UPSTREAM.id()).ifPresent(report -> report(sender, report));
                schedule(DIGEST_MILLIS, () -> report(sender));
            }
        }

        private void report(int sender, LimitReport report) {
            for (int i = 0; i < all.size(); i++) {
                int receiver = i;
                long way = random.nextLong(MAX_MESSAGE_DELAY_MILLIS);
                if (i != sender && !disconnected[sender] && !disconnected[i]) {
                    schedule(way, () -> all.get(receiver).reportReceived(report));
                }
            }
        }

        private void schedule(long millis, Runnable what) {
            events.add(new Event(now + millis, what));
        }

        /** Lets time pass; each process asks so often. */
        void run(long millis, double asksPerSecond) {
            long end = now + millis;
            double part = asksPerSecond / 1_000;
            while (now < end) {
                now++;
                while (!events.isEmpty() && events.peek().atMillis <= now) {
                    events.poll().task.run();
                }
                int asking = requestCount(part * all.size());
                for (int i = 0; i < asking; i++) {
                    request(random.nextInt(all.size()));
                }
            }
        }

        private int requestCount(double mean) {
            int whole = (int) mean;
            return whole + (random.nextDouble() < mean - whole ? 1 : 0);
        }

        private void request(int process) {
            UpstreamLimits limits = all.get(process);
            if (suspended[process]) {
                return;
            }
            if (limits.isLimited(UPSTREAM)) {
                var turn = limits.take(UPSTREAM);
                if (turn.isEmpty()) {
                    return;
                }
                limits.sent(turn.get());
            }
            arrivals.add(now);
            long sent = now;
            LimitNotice answer = answeredLimit;
            schedule(ANSWER_MILLIS, () -> limits.answerReceived(UPSTREAM, answer, sent, now));
        }

        /** Has something happen to a few processes; what was cut or frozen before goes on. */
        void injectFault() {
            Arrays.fill(disconnected, false);
            Arrays.fill(suspended, false);
            int struck = 1 + random.nextInt(Math.max(1, all.size() / 4));
            int kind = random.nextInt(4);
            for (int i = 0; i < struck; i++) {
                int process = random.nextInt(all.size());
                switch (kind) {
                    case 0 -> disconnected[process] = true;
                    case 1 -> suspended[process] = true;
                    case 2 -> restart(process);
                    default -> count = all.size() + (random.nextBoolean() ? 1 : 0);
                }
            }
        }

        /** One that starts anew serves once it is linked to a peer, which tells what it knows. */
        private void restart(int process) {
            start(process);
            suspended[process] = true;
            int peer = random.nextInt(all.size());
            if (suspended[peer]) {
                return;
            }
            schedule(
                    ANSWER_MILLIS,
                    () -> {
                        all.get(peer)
                                .report(UPSTREAM.id())
                                .ifPresent(report -> all.get(process).reportReceived(report));
                        suspended[process] = false;
                    });
        }

        long limited() {
            return all.stream().filter(limits -> limits.isLimited(UPSTREAM)).count();
        }

        int maxPerWindow(long fromMillis) {
            int fullest = 0;
            int first = 0;
            for (int last = 0; last < arrivals.size(); last++) {
                while (arrivals.get(first) < fromMillis
                        || arrivals.get(last) - arrivals.get(first) >= WINDOW_MILLIS) {
                    if (first == last) {
                        break;
                    }
                    first++;
                }
                boolean counts = arrivals.get(last) >= fromMillis;
                fullest = Math.max(fullest, counts ? last - first + 1 : 0);
            }
            return fullest;
        }

        long sentAfter(long fromMillis) {
            return arrivals.stream().filter(millis -> millis >= fromMillis).count();
        }
    }

    /** What turns allow by construction: kept ones may be used late, nothing else is added. */
    private static double maxWithoutFaults(double perSecond) {
        return perSecond < 1 ? 4 * perSecond + 2 : 5 * perSecond + 2;
    }

    private static double maxWithFaults(double perSecond) {
        return 6 * perSecond + 5;
    }

    @Example
    void anyNumberOfProcessesObservesAnyLimit() {
        for (int processes : PROCESSES) {
            for (double limit : LIMITS) {
                Processes system = new Processes(processes, limit, 0, 20261203);
                system.run(2_000, 2);
                long from = system.now;
                system.run(60_000, Math.max(2, 3 * limit / processes));
                int fullest = system.maxPerWindow(from);
                double used = system.sentAfter(from) / (60 * limit);
                String what = processes + " processes, limit " + limit;
                System.out.printf("%s: fullest %d, used %.2f%n", what, fullest, used);
                assertTrue(fullest <= maxWithoutFaults(limit), what + ": " + fullest + " in 4 s");
                assertTrue(limit < 1 || used >= 0.8, what + ": only " + used + " is used");
            }
        }
    }

    /** Restarts, freezes, cuts and processes that come late, several at once, over and over. */
    @Example
    void faultsDoNotExceedTheTolerance() {
        for (int processes : PROCESSES) {
            for (double limit : LIMITS) {
                for (long seed = 1; seed <= 3; seed++) {
                    Processes system = new Processes(processes, limit, 20, seed);
                    system.run(2_000, 2);
                    long from = system.now;
                    for (int i = 0; i < 12; i++) {
                        system.injectFault();
                        system.run(2_500, Math.max(1, 2 * limit / processes));
                    }
                    int fullest = system.maxPerWindow(from);
                    String what = processes + " processes, limit " + limit + ", seed " + seed;
                    System.out.printf("%s: fullest %d%n", what, fullest);
                    assertTrue(fullest <= maxWithFaults(limit), what + ": " + fullest + " in 4 s");
                }
            }
        }
    }

    /** The end is known to all soon, without a rush before it is. */
    @Example
    void endOfALimitReachesAllProcesses() {
        for (int processes : PROCESSES) {
            for (double limit : new double[] {1, 4, 20, 500}) {
                Processes system = new Processes(processes, limit, 0, 20261203);
                system.run(10_000, Math.max(2, 3 * limit / processes));
                assertEquals(processes, system.limited(), "all know the limit");
                system.answeredLimit = LimitNotice.ABSENT;
                system.run(3_000, Math.max(2, 3 * limit / processes));
                assertEquals(0, system.limited(), processes + " processes, limit " + limit);
            }
        }
    }
}
