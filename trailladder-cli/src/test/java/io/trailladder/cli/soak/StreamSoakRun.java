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
package io.trailladder.cli.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One seeded run of streams at upstreams of several versions: releases in series, and gateways that
 * are cut off, frozen and killed, one at a time or all at once.
 */
final class StreamSoakRun implements AutoCloseable {
    private static final int CALLERS = 40;
    private static final long STEP_MILLIS = 25;
    private static final long SHORTEST_PAUSE_MILLIS = 300;
    private static final long LONGEST_PAUSE_MILLIS = 2_000;
    private static final long SHORTEST_FAULT_MILLIS = 300;
    private static final long LONGEST_FAULT_MILLIS = 6_000;
    private static final long SHORTEST_UNSEEN_MILLIS = 3_000;
    private static final long SHORTEST_RELEASE_MILLIS = 1_000;
    private static final long LEAST_LONGEST_RELEASE_MILLIS = 3_000;
    private static final long LONGEST_RELEASE_MILLIS = 15_000;
    private static final long LONGEST_UNCHANGED_MILLIS = 6_000;
    private static final long LAST_LOSS_MILLIS = 300;

    /** How long callers go on after the last fault, in milliseconds. */
    private static final long CALM_MILLIS = 5_500;

    private final SplittableRandom random;
    private final SplittableRandom releaseRandom;
    private final StreamObservations record = new StreamObservations();
    private final StreamCluster cluster;
    private final long longestReleaseMillis;
    private final List<String> faults = new ArrayList<>();
    private final List<Pending> pending = new ArrayList<>();
    private long startNanos;
    private volatile boolean going = true;

    /** The end of a fault. */
    private record Pending(long atMillis, Change end) {}

    /** Begins or ends a fault. */
    private interface Change {
        void make() throws Exception;
    }

    /**
     * What a run came to.
     *
     * @param record what was seen
     * @param faults what was done, in order
     * @param logs folder of the gateways' logs
     */
    record Result(StreamObservations record, List<String> faults, Path logs) {}

    StreamSoakRun(long seed, int processes) throws Exception {
        random = new SplittableRandom(seed);
        releaseRandom = new SplittableRandom(~seed);
        longestReleaseMillis =
                releaseRandom.nextLong(LEAST_LONGEST_RELEASE_MILLIS, LONGEST_RELEASE_MILLIS);
        cluster = new StreamCluster("streams-" + seed, processes, releaseRandom.split(), record);
    }

    /** Runs faults for some time, then calm, twice ended by a loss of all; tells what was seen. */
    Result run(long millis) throws Exception {
        startNanos = System.nanoTime();
        List<Thread> callers = startCallers();
        try {
            strikeFor(millis);
            loseAll();
            Thread.sleep(CALM_MILLIS);
            loseAll();
            Thread.sleep(CALM_MILLIS);
        } finally {
            going = false;
            for (Thread caller : callers) {
                caller.join();
            }
        }
        return new Result(record, faults, cluster.folder());
    }

    /** Kills all gateways and starts them again, with all other faults at an end. */
    private void loseAll() throws Exception {
        killAll(LAST_LOSS_MILLIS);
        Thread.sleep(LAST_LOSS_MILLIS);
        for (Pending each : pending) {
            each.end().make();
        }
        pending.clear();
        if (!cluster.awaitReady()) {
            record.violation("a gateway was not ready after the faults");
        }
    }

    private List<Thread> startCallers() {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            StreamCaller caller = new StreamCaller(cluster, random.split(), () -> going, record);
            Thread thread = new Thread(caller, "caller-" + i);
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    private void strikeFor(long millis) throws Exception {
        long strikeMillis = random.nextLong(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
        long releaseMillis = releaseRandom.nextLong(longestReleaseMillis);
        long releasesEndMillis = millis - releaseRandom.nextLong(LONGEST_UNCHANGED_MILLIS);
        while (nowMillis() < millis) {
            if (nowMillis() >= strikeMillis) {
                strike();
                strikeMillis += random.nextLong(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
            }
            if (nowMillis() >= releaseMillis && nowMillis() < releasesEndMillis) {
                release();
                releaseMillis +=
                        releaseRandom.nextLong(SHORTEST_RELEASE_MILLIS, longestReleaseMillis);
            }
            endFaults();
            cluster.checkReady();
            Thread.sleep(STEP_MILLIS);
        }
    }

    private long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void strike() throws Exception {
        int index = random.nextInt(cluster.size());
        long forMillis = random.nextLong(SHORTEST_FAULT_MILLIS, LONGEST_FAULT_MILLIS);
        switch (random.nextInt(8)) {
            case 0 -> cutStore(index, forMillis);
            case 1 -> cutPeers(index, forMillis);
            case 2, 3, 4 -> cutOff(index, forMillis);
            case 5 -> freeze(index, forMillis);
            case 6 -> kill(index, forMillis);
            default -> killAll(forMillis / 3);
        }
    }

    private void killAll(long forMillis) throws Exception {
        for (int i = 0; i < cluster.size(); i++) {
            kill(i, forMillis);
        }
    }

    /** Releases a version; now and then a gateway is cut off before that and does not see it. */
    private void release() throws Exception {
        if (releaseRandom.nextBoolean()) {
            cutOff(
                    releaseRandom.nextInt(cluster.size()),
                    releaseRandom.nextLong(SHORTEST_UNSEEN_MILLIS, LONGEST_FAULT_MILLIS));
        }
        note("release " + cluster.releases().release());
    }

    private void cutOff(int index, long forMillis) throws Exception {
        cutStore(index, forMillis);
        cutPeers(index, forMillis);
    }

    private void cutStore(int index, long forMillis) throws Exception {
        note("store of g" + index + " cut for " + forMillis);
        cluster.cutStore(index, true);
        endAfter(forMillis, () -> cluster.cutStore(index, false));
    }

    private void cutPeers(int index, long forMillis) throws Exception {
        note("peers of g" + index + " cut for " + forMillis);
        cluster.cutPeers(index, true);
        endAfter(forMillis, () -> cluster.cutPeers(index, false));
    }

    private void freeze(int index, long forMillis) throws Exception {
        note("freeze g" + index + " for " + forMillis);
        cluster.freeze(index, true);
        endAfter(forMillis, () -> cluster.freeze(index, false));
    }

    private void kill(int index, long forMillis) throws Exception {
        note("kill g" + index + " for " + forMillis);
        cluster.kill(index);
        endAfter(forMillis, () -> cluster.start(index));
    }

    private void endAfter(long millis, Change end) {
        pending.add(new Pending(nowMillis() + millis, end));
    }

    private void endFaults() throws Exception {
        for (Iterator<Pending> each = pending.iterator(); each.hasNext(); ) {
            Pending due = each.next();
            if (due.atMillis() <= nowMillis()) {
                each.remove();
                due.end().make();
            }
        }
    }

    private void note(String fault) {
        faults.add(nowMillis() + " " + fault);
    }

    @Override
    public void close() throws IOException {
        cluster.close();
    }
}
