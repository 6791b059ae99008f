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

import io.trailladder.core.rollout.VersionGate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that streams are resumed at the version that began them while upstreams of several versions
 * come and go, and processes notice that at different times and restart.
 */
class StreamHistoriesTest {
    private static final String SERVICE = "s";
    private static final String ROUTE = "r";
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long SETTLE_MILLIS = 25_000;
    private static final long STEP_MILLIS = 20;
    private static final long DIGEST_MILLIS = 200;
    private static final long MAX_LAG_MILLIS = 300;
    private static final long MIN_RETURN_MILLIS = 400;
    private static final long MAX_RETURN_MILLIS = 4_000;
    private static final long RECORD_MILLIS = 1_000;

    private SplittableRandom random;
    private final List<Gateway> processes = new ArrayList<>();
    private final PriorityQueue<Change> changes =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    private final PriorityQueue<Stream> returns =
            new PriorityQueue<>(
                    (one, other) -> Long.compare(one.returnMillis(), other.returnMillis()));
    private long now;
    private int streams;
    private int resumed;
    private int continued;
    private int joined;
    private int picked;
    private Optional<Map<String, List<VersionRange>>> record = Optional.empty();
    private boolean storeReachable;

    /** A change of the list that a process notices at a time. */
    private record Change(long atMillis, Gateway process, Upstream upstream, boolean added) {}

    /** A stream whose caller comes back. */
    private record Stream(String attempt, String version, long beganMillis, long returnMillis) {}

    /** One process, which loses all it knows but the list and the record when it restarts. */
    private final class Gateway {
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private StreamVersions versions;
        private long downUntilMillis;
        private boolean recordRead;

        Gateway() {
            restart(0);
        }

        void restart(long downMillis) {
            downUntilMillis = now + downMillis;
            versions = new StreamVersions(directory, new VersionGate(), now + downMillis);
            recordRead = false;
        }

        /** Reads the record of the versions that served before, as soon as the store answers. */
        void readRecord() {
            if (!recordRead && storeReachable) {
                record.ifPresentOrElse(versions::recordedBefore, versions::notRecordedBefore);
                recordRead = true;
            }
        }

        boolean isRunning() {
            return now >= downUntilMillis;
        }
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, SERVICE, "a", id + ":1", 8, false, false, 0, version, 0, 0);
    }

    private void start(int processCount, int versionCount) {
        random = new SplittableRandom(20261203);
        now = 0;
        streams = 0;
        resumed = 0;
        continued = 0;
        joined = 0;
        record = Optional.empty();
        storeReachable = true;
        processes.clear();
        changes.clear();
        returns.clear();
        for (int i = 0; i < processCount; i++) {
            processes.add(new Gateway());
        }
        for (int i = 0; i < 12; i++) {
            change(upstream("u" + i, "v" + i % versionCount), true);
        }
        advance(SETTLE_MILLIS, 0);
    }

    /** Has all processes notice a change of the list, each at its own time. */
    private void change(Upstream upstream, boolean added) {
        for (Gateway process : processes) {
            long lag = random.nextLong(MAX_LAG_MILLIS);
            changes.add(new Change(now + lag, process, upstream, added));
        }
    }

    private void advance(long millis, int streamsPerSecond) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            while (!changes.isEmpty() && changes.peek().atMillis() <= now) {
                apply(changes.poll());
            }
            for (Gateway process : processes) {
                if (process.isRunning()) {
                    process.readRecord();
                    process.versions.tick(now);
                }
            }
            if (now % RECORD_MILLIS == 0 && storeReachable) {
                writeRecord();
            }
            if (now % DIGEST_MILLIS == 0) {
                sendDigests();
            }
            if (random.nextDouble() < streamsPerSecond * STEP_MILLIS / 1_000.0) {
                begin();
            }
            while (!returns.isEmpty() && returns.peek().returnMillis() <= now) {
                resume(returns.poll());
            }
        }
    }

    /** Has each process that runs tell all others, as digests do. */
    private void sendDigests() {
        for (Gateway sender : processes) {
            List<StreamRecord> news =
                    sender.isRunning() ? sender.versions.news(now) : List.<StreamRecord>of();
            for (Gateway receiver : processes) {
                if (receiver != sender && receiver.isRunning()) {
                    news.forEach(stream -> receiver.versions.learned(stream, now));
                }
            }
        }
    }

    /** Has the first process that runs and knows what served lately write it to the store. */
    private void writeRecord() {
        processes.stream()
                .filter(Gateway::isRunning)
                .map(process -> process.versions.recent(now))
                .flatMap(Optional::stream)
                .findFirst()
                .ifPresent(recent -> record = Optional.of(recent));
    }

    private static void apply(Change change) {
        if (change.added()) {
            change.process().directory.changed(change.upstream());
        } else {
            change.process().directory.removed(change.upstream().id());
        }
    }

    private Gateway running() {
        Gateway process = processes.get(random.nextInt(processes.size()));
        return process.isRunning() ? process : processes.get(0);
    }

    private void begin() {
        Gateway process = running();
        String attempt = "attempt-" + streams++;
        process.versions.requested(ROUTE, DEADLINE_MILLIS);
        StreamOrigin origin = process.versions.assigned(SERVICE, attempt, now);
        List<Upstream> serving = process.directory.serving(SERVICE);
        String version =
                origin.required().orElseGet(() -> serving.get(streams % serving.size()).version());
        process.versions.began(SERVICE, attempt, version, now);
        long delay = random.nextLong(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS);
        returns.add(new Stream(attempt, version, now, now + delay));
    }

    private void resume(Stream stream) {
        Gateway process = running();
        long waitMillis = DEADLINE_MILLIS - (now - stream.beganMillis());
        StreamOrigin origin =
                process.versions.origin(SERVICE, ROUTE, stream.attempt(), waitMillis, now);
        if (!process.isRunning()) {
            return;
        }
        List<Upstream> serving = process.directory.serving(SERVICE);
        boolean known = origin.source() != StreamOrigin.Source.UNKNOWN;
        if (known && origin.required().isEmpty() && !serving.isEmpty()) {
            String version = serving.get(++picked % serving.size()).version();
            joined += version.equals(stream.version()) ? 0 : 1;
        } else if (known && origin.required().isPresent()) {
            joined += origin.required().get().equals(stream.version()) ? 0 : 1;
        }
        if (serving.stream().anyMatch(each -> each.version().equals(stream.version()))) {
            resumed++;
            continued += known ? 1 : 0;
        }
    }

    private void assertContinued(double minShare) {
        String seen = joined + " joined, " + continued + " of " + resumed + " continued";
        assertEquals(0, joined, seen);
        assertTrue(continued >= minShare * resumed, seen);
    }

    /**
     * Guards against streams that go on at another version at a process that did not begin them.
     */
    @Property(tries = 16, generation = GenerationMode.EXHAUSTIVE)
    void processesAgreeOnTheVersionOfAStream(
            @ForAll @IntRange(min = 1, max = 4) int versionCount,
            @ForAll @IntRange(min = 0, max = 3) int size) {
        start(List.of(2, 6, 30, 81).get(size), versionCount);
        advance(20_000, 40);
        assertContinued(1);
    }

    /** Guards against the same while the upstreams of one version replace those of another. */
    @Example
    void streamsGoOnWhileAVersionIsReplaced() {
        start(8, 1);
        advance(5_000, 40);
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
            advance(1_500, 40);
            change(upstream("u" + i, "v0"), false);
            advance(500, 40);
        }
        advance(5_000, 40);
        assertContinued(0.95);
    }

    /** Guards against a process that has just started resuming streams at any version. */
    @Example
    void streamsGoOnAfterAllProcessesRestart() {
        start(8, 3);
        advance(5_000, 40);
        for (int restart = 0; restart < 3; restart++) {
            processes.forEach(process -> process.restart(1_000));
            advance(8_000, 40);
        }
        assertContinued(0.95);
    }

    /** Guards against streams joined when upstreams end without notice and new ones start. */
    @Example
    void streamsGoOnWhileUpstreamsOfThreeVersionsComeAndGo() {
        start(8, 3);
        for (int i = 0; i < 30; i++) {
            change(upstream("n" + i, "v" + random.nextInt(3)), true);
            advance(700, 40);
            change(upstream("u" + i % 12, "v" + i % 3), false);
            advance(700, 40);
        }
        assertContinued(0.95);
    }

    /** Has the upstreams of v9 come, and those of v0 leave. */
    private void replaceVersion(long pauseMillis) {
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        advance(pauseMillis, 40);
        for (int i = 0; i < 12; i++) {
            change(upstream("u" + i, "v0").asLeaving(), true);
        }
        advance(1_000, 40);
    }

    private void removeOldUpstreams() {
        for (int i = 0; i < 12; i++) {
            change(upstream("u" + i, "v0"), false);
        }
    }

    private void restartAll(long downMillis) {
        processes.forEach(process -> process.restart(downMillis));
    }

    /** Guards against streams of upstreams that leave being joined after a restart of all. */
    @Example
    void versionThatLeavesIsKnownAfterARestartOfAll() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(1_000);
        restartAll(500);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against the same if the older version has gone from the list before the restart. */
    @Example
    void versionThatWentIsKnownAfterARestartOfAll() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(3_000);
        removeOldUpstreams();
        advance(500, 40);
        restartAll(500);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against the same if the version is replaced while no process runs. */
    @Example
    void versionReplacedWhileAllAreDownIsKnownAfterwards() {
        start(3, 1);
        advance(5_000, 40);
        restartAll(1_000);
        for (int i = 0; i < 12; i++) {
            change(upstream("n" + i, "v9"), true);
        }
        removeOldUpstreams();
        advance(1_000, 0);
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /**
     * Guards against the same at processes that restart one after the other beside one that lives.
     */
    @Example
    void versionThatLeftIsKnownToProcessesThatRestartInTurn() {
        start(3, 1);
        advance(5_000, 40);
        replaceVersion(1_000);
        for (int i = 1; i < processes.size(); i++) {
            processes.get(i).restart(500);
            advance(3_000, 40);
        }
        removeOldUpstreams();
        advance(8_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined");
    }

    /** Guards against joined streams after restarts in any order, with and without the store. */
    @Property(tries = 60, seed = "20261204")
    void noStreamIsJoinedOverAnyOrderOfRestarts(@ForAll long seed) {
        start(5, 1);
        random = new SplittableRandom(seed);
        for (int i = 0; i < 12; i++) {
            storeReachable = random.nextInt(4) > 0;
            change(upstream("n" + i, "v9"), true);
            advance(random.nextLong(3_000), 40);
            change(upstream("u" + i, "v0").asLeaving(), true);
            advance(random.nextLong(1_500), 40);
            if (random.nextBoolean()) {
                change(upstream("u" + i, "v0"), false);
            }
            int restarted = random.nextInt(processes.size() + 1);
            for (int process = 0; process < restarted; process++) {
                processes.get(process).restart(random.nextLong(100, 1_500));
            }
        }
        storeReachable = true;
        advance(5_000, 40);
        assertEquals(0, joined, joined + " of " + resumed + " joined, seed " + seed);
    }

    /** Guards against streams refused after a restart of all though only one version serves. */
    @Example
    void oneVersionLosesNothingInARestartOfAll() {
        start(5, 1);
        for (int i = 0; i < 3; i++) {
            advance(3_000, 40);
            restartAll(500);
        }
        advance(5_000, 40);
        assertContinued(1);
    }
}
