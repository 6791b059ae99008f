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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/**
 * Upstreams that fall over when they refuse too many requests in a second, and processes that know
 * of each other only what digests tell, in virtual time.
 */
class BrittleHistoriesTest {
    private static final long LENGTH_MILLIS = 20_000;
    private static final long DIGEST_MILLIS = 200;
    private static final long RUN_MILLIS = 21;
    private static final long DOWN_MILLIS = 3_000;
    private static final int UPSTREAMS = 3;
    private static final int SLOTS = 6;
    private static final int WAITING = 1;

    /** Falls that are borne while a service is brittle: two, and a tenth of its upstreams. */
    private static final int MAX_FALLS = 2 + UPSTREAMS / 10;

    /** Time from the first statement until upstreams may fall over. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Multiple of what the upstreams can serve. */
    private static final double OVERLOAD = 1.5;

    private String what = "";
    private long now = 1_000;
    private final long fallsFromMillis = now + CONTACT_MILLIS;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final List<Worker> workers = new ArrayList<>();
    private final List<Gateway> processes = new ArrayList<>();
    private int served;
    private int asked;
    private int falls;

    private record Event(long atMillis, Runnable task) {}

    /** An upstream. */
    private final class Worker {
        private final Upstream entry;
        private final double brittle;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final Deque<Long> refusals = new ArrayDeque<>();
        private int running;
        private int incarnation;
        private long downUntilMillis;

        Worker(String id, double brittle) {
            this.entry = new Upstream(id, "s", "a", "h:1", SLOTS, false, false, 0);
            this.brittle = brittle;
        }

        /** Runs the request or refuses it; one that is down answers nothing. */
        void arrives(Runnable done, Runnable refused, Runnable lost) {
            if (now < downUntilMillis) {
                after(1, lost);
            } else if (running < SLOTS) {
                start(done);
            } else if (waiting.size() < WAITING) {
                waiting.add(done);
            } else {
                after(1, refused);
                refusals.add(now);
                while (refusals.peek() <= now - 1_000) {
                    refusals.remove();
                }
                if (refusals.size() > brittle && now >= fallsFromMillis) {
                    fall();
                }
            }
        }

        private void start(Runnable done) {
            running++;
            int started = incarnation;
            after(
                    RUN_MILLIS,
                    () -> {
                        if (incarnation != started) {
                            return;
                        }
                        running--;
                        after(1, done);
                        if (!waiting.isEmpty()) {
                            start(waiting.remove());
                        }
                    });
        }

        private void fall() {
            falls++;
            incarnation++;
            running = 0;
            waiting.clear();
            refusals.clear();
            downUntilMillis = now + DOWN_MILLIS;
        }
    }

    /** A gateway. */
    private final class Gateway {
        private final String name;
        private final UpstreamLoads loads = new UpstreamLoads();
        private final UpstreamBackoffs backoffs = new UpstreamBackoffs();
        private final BrittleUpstreams brittle;
        private final UpstreamAvailability availability;

        Gateway(int index, int count, boolean tells) {
            name = "p" + index;
            brittle =
                    new BrittleUpstreams(
                            loads,
                            () -> now,
                            () -> now,
                            upstream -> new SendSlotOrder(index, count));
            UpstreamDirectory directory = new UpstreamDirectory();
            workers.forEach(worker -> directory.changed(worker.entry));
            availability =
                    new UpstreamAvailability(
                            directory,
                            backoffs,
                            new UpstreamLimits(() -> now, upstream -> SendSlotOrder.NO_SHARE),
                            tells ? brittle : BrittleUpstreams.none());
        }

        /** Sends a request, whose caller comes back once if there is no room. */
        void request() {
            asked++;
            request(true);
        }

        private void request(boolean comesBack) {
            List<Upstream> open = availability.acceptingNow(availability.notLeaving("s"), 0, now);
            Optional<Worker> chosen =
                    workers.stream()
                            .filter(worker -> open.contains(worker.entry))
                            .min(Comparator.comparingInt(w -> loads.requests(w.entry.id())));
            chosen.ifPresent(this::send);
            if (chosen.isEmpty() && comesBack) {
                long waitMillis = availability.untilAnyAcceptsMillis("s", 0, now);
                after(waitMillis, () -> request(false));
            }
        }

        private void send(Worker worker) {
            Upstream upstream = worker.entry;
            loads.sent(upstream.id(), 0);
            long sentMillis = now;
            Runnable done =
                    () -> {
                        loads.ended(upstream.id());
                        brittle.answerReceived(upstream, worker.brittle, sentMillis);
                        brittle.ended(upstream, now - sentMillis);
                        backoffs.requestAccepted(upstream, now);
                        served++;
                    };
            Runnable refused =
                    () -> {
                        loads.ended(upstream.id());
                        brittle.answerReceived(upstream, worker.brittle, sentMillis);
                        long pause = brittle.refused(upstream);
                        if (pause > 0) {
                            backoffs.backoffRequested(upstream, pause, now);
                        }
                    };
            Runnable lost =
                    () -> {
                        loads.ended(upstream.id());
                        backoffs.backoffRequested(upstream, DOWN_MILLIS, now);
                    };
            after(1, () -> worker.arrives(done, refused, lost));
        }

        void digest() {
            for (Gateway peer : processes) {
                if (peer != this) {
                    peer.loads.setPeerUses(name, loads.ownUses());
                    brittle.statements().forEach(peer.brittle::apply);
                }
            }
            after(DIGEST_MILLIS, this::digest);
        }
    }

    private void after(long millis, Runnable task) {
        events.add(new Event(now + millis, task));
    }

    /** Plays a service that is brittle from the start, at a multiple of what it can serve. */
    private void play(int count, double brittle, double load, boolean tells) {
        for (int i = 0; i < UPSTREAMS; i++) {
            workers.add(new Worker("w" + i, brittle));
        }
        SplittableRandom random = new SplittableRandom(count * 31L + Math.round(brittle));
        for (int i = 0; i < count; i++) {
            processes.add(new Gateway(i, count, tells));
        }
        for (Gateway process : processes) {
            after(random.nextLong(DIGEST_MILLIS), process::digest);
        }
        double perMilli = load * UPSTREAMS * SLOTS / RUN_MILLIS;
        after(1, () -> arrive(random, perMilli));
        long end = now + LENGTH_MILLIS;
        while (!events.isEmpty() && events.peek().atMillis() < end) {
            Event next = events.remove();
            now = next.atMillis();
            next.task().run();
        }
    }

    private void arrive(SplittableRandom random, double perMilli) {
        for (double left = perMilli; random.nextDouble() < left; left--) {
            processes.get(random.nextInt(processes.size())).request();
        }
        after(1, () -> arrive(random, perMilli));
    }

    private String seen() {
        return falls + " falls, " + served + " of " + asked + " served";
    }

    /** Shows that the model falls over where nobody heeds what upstreams announce. */
    @Example
    void upstreamsFallOftenWhereNobodyHeedsThem() {
        play(8, 5, OVERLOAD, false);
        assertTrue(falls > 3 * MAX_FALLS, seen());
    }

    /** Guards against brittle upstreams that are made to refuse until they fall over. */
    @Example
    void fewUpstreamsFallUnderOverload() {
        for (BrittleHistoriesTest history : overloads()) {
            assertTrue(history.falls <= MAX_FALLS, history.what + history.seen());
        }
    }

    /** Guards against protecting brittle upstreams by sending them next to nothing. */
    @Example
    void aGoodPartIsServedUnderOverload() {
        for (BrittleHistoriesTest history : overloads()) {
            double servable = history.asked / OVERLOAD;
            assertTrue(history.served > 0.3 * servable, history.what + history.seen());
        }
    }

    /** Guards against processes that take the same free slots of which they read in reports. */
    @Example
    void fewUpstreamsFallBelowWhatTheyServe() {
        for (double load : new double[] {0.5, 0.75}) {
            for (BrittleHistoriesTest history : histories(load)) {
                assertTrue(history.falls <= MAX_FALLS, history.what + history.seen());
            }
        }
    }

    private static List<BrittleHistoriesTest> overloads() {
        return histories(OVERLOAD);
    }

    private static List<BrittleHistoriesTest> histories(double load) {
        List<BrittleHistoriesTest> histories = new ArrayList<>();
        for (int count : new int[] {1, 3, 8, 30, 80}) {
            for (double brittle : new double[] {3, 10, 40}) {
                BrittleHistoriesTest history = new BrittleHistoriesTest();
                history.what = count + " processes, " + brittle + " refusals a second: ";
                history.play(count, brittle, load, true);
                histories.add(history);
            }
        }
        return histories;
    }

    @Example
    void withinWhatTheyServeMostIsServed() {
        play(8, 5, 0.5, true);
        assertTrue(falls <= MAX_FALLS, seen());
        assertTrue(served >= 0.9 * asked, seen());
    }

    @Example
    void aStatementEndsWithAnAnswerThatDoesNotRepeatIt() {
        Upstream upstream = new Upstream("w", "s", "a", "h:1", 1, false, false, 0);
        BrittleUpstreams brittle =
                new BrittleUpstreams(
                        new UpstreamLoads(),
                        () -> now,
                        () -> now,
                        each -> new SendSlotOrder(1, 1_000));
        assertFalse(brittle.answerReceived(upstream, 0, now));
        assertTrue(brittle.answerReceived(upstream, 5, now));
        assertEquals(0, brittle.refused(upstream), "its part suffices for now");
        assertTrue(brittle.refused(upstream) > 0);
        assertFalse(brittle.answerReceived(upstream, 0, now - 1), "an answer that was overtaken");
        assertTrue(brittle.answerReceived(upstream, 0, now + 1));
        assertEquals(0, brittle.refused(upstream));
        assertEquals(0, brittle.waitMillis(upstream));
        brittle.answerReceived(upstream, 5, now + 2);
        now += BrittleUpstreams.MAX_AGE_MILLIS + 3;
        assertEquals(0, brittle.refused(upstream), "nobody repeats it");
    }
}
