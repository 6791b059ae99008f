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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Processes in virtual time that serve streams while upstreams of several versions come and go, and
 * notice that at different times.
 */
abstract class SimulatedStreams {
    private static final String SERVICE = "s";
    private static final String ROUTE = "r";
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long SETTLE_MILLIS = 25_000;
    private static final long STEP_MILLIS = 20;
    private static final long DIGEST_MILLIS = 200;
    private static final long SILENCE_MILLIS = 1_200;
    private static final long MAX_LAG_MILLIS = 300;
    private static final long MIN_RETURN_MILLIS = 400;
    private static final long MAX_RETURN_MILLIS = 4_000;
    private static final int RETRIES_SHARE = 5;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long RECORD_MILLIS = 1_000;

    SplittableRandom random;
    final List<Gateway> processes = new ArrayList<>();
    private final PriorityQueue<Change> changes =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    private final PriorityQueue<Stream> returns =
            new PriorityQueue<>(
                    (one, other) -> Long.compare(one.returnMillis(), other.returnMillis()));
    private long now;
    private int streams;
    int resumed;
    private int continued;
    int joined;
    private int picked;
    private Optional<VersionRecord> record = Optional.empty();
    boolean storeReachable;

    /** Whether some streams begin at a later try of their callers. */
    boolean callersRetry = true;

    /** What callers say of their deadline when they resume a stream. */
    Deadlines deadlines = Deadlines.LEFT;

    /** Whether some callers of the route wait twice as long as the others. */
    boolean waitsDiffer;

    /** Only streams that began earlier are counted as resumed. */
    private long countedBeforeMillis;

    /** Whether callers reach only processes that are not cut off. */
    boolean callersAvoidIsolated;

    /** What a caller says of its deadline when it resumes a stream. */
    enum Deadlines {
        /** What is left of the deadline of its first try. */
        LEFT,
        /** The same time for each try. */
        SAME,
        /** A shorter time than is left. */
        SHORTER,
        /** Nothing. */
        NONE,
        /** Each caller any of these. */
        DRAWN;

        private static final List<Deadlines> FIXED = List.of(LEFT, SAME, SHORTER, NONE);

        /** Returns the deadline that a caller tells. */
        private long millis(Stream stream, SplittableRandom random, long nowMillis) {
            return switch (this) {
                case LEFT -> stream.deadlineMillis();
                case SAME -> nowMillis + DEADLINE_MILLIS;
                case SHORTER -> nowMillis + (stream.deadlineMillis() - nowMillis) / 2;
                case NONE -> StreamCall.NO_DEADLINE;
                case DRAWN ->
                        FIXED.get(random.nextInt(FIXED.size())).millis(stream, random, nowMillis);
            };
        }
    }

    /** A change of the list that a process notices at a time. */
    private record Change(long atMillis, Gateway process, Upstream upstream, boolean added) {
        Change at(long millis) {
            return new Change(millis, process, upstream, added);
        }
    }

    /** A stream whose caller comes back. */
    private record Stream(
            String attempt,
            String version,
            long beganMillis,
            long deadlineMillis,
            long returnMillis) {}

    /** One process, which loses all it knows but the list and the record when it restarts. */
    final class Gateway {
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private StreamVersions versions;
        private long downUntilMillis;
        private boolean recordRead;
        private boolean isolated;
        private long isolatedMillis;
        private long currentFromMillis;

        /** When each peer that responds was last heard. */
        private final Map<String, Long> heardMillis = new HashMap<>();

        private final List<Change> missed = new ArrayList<>();

        Gateway() {
            restart(0);
        }

        void restart(long downMillis) {
            downUntilMillis = now + downMillis;
            versions =
                    new StreamVersions(name(this), directory, new VersionGate(), now + downMillis);
            recordRead = false;
            heardMillis.clear();
        }

        /** Cuts this process off from the store and from all other processes. */
        void isolate() {
            isolatedMillis = isolated ? isolatedMillis : now;
            isolated = true;
        }

        /** Ends the cut; the changes that were missed are noticed one list later. */
        void reconnect() {
            isolated = false;
            currentFromMillis = now + MAX_LAG_MILLIS;
            missed.forEach(change -> changes.add(change.at(now + MAX_LAG_MILLIS)));
            missed.clear();
        }

        private void notice(Change change) {
            if (isolated) {
                missed.add(change);
            } else if (change.added()) {
                directory.changed(change.upstream());
            } else {
                directory.removed(change.upstream().id());
            }
        }

        /** Reads the record of the versions that served before, as soon as the store answers. */
        void readRecord() {
            if (!recordRead && storeReachable && !isolated) {
                record.ifPresentOrElse(
                        earlier -> versions.recordedBefore(earlier, true, now),
                        versions::notRecordedBefore);
                recordRead = true;
            }
        }

        /** Returns whether this process serves: one that starts cut off has no list to serve by. */
        boolean isRunning() {
            return now >= downUntilMillis && (!isolated || isolatedMillis >= downUntilMillis);
        }
    }

    static Upstream upstream(String id, String version) {
        return new Upstream(id, SERVICE, "a", id + ":1", 8, false, false, 0, version, 0, 0);
    }

    final void start(int processCount, int versionCount) {
        random = new SplittableRandom(20261203);
        now = 0;
        streams = 0;
        resumed = 0;
        continued = 0;
        joined = 0;
        record = Optional.empty();
        storeReachable = true;
        callersAvoidIsolated = false;
        countedBeforeMillis = Long.MAX_VALUE;
        deadlines = Deadlines.LEFT;
        waitsDiffer = false;
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
    final void change(Upstream upstream, boolean added) {
        for (Gateway process : processes) {
            long lag = random.nextLong(MAX_LAG_MILLIS);
            changes.add(new Change(now + lag, process, upstream, added));
        }
    }

    final void advance(long millis, int streamsPerSecond) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            while (!changes.isEmpty() && changes.peek().atMillis() <= now) {
                Change change = changes.poll();
                change.process().notice(change);
            }
            for (Gateway process : processes) {
                if (process.isRunning()) {
                    process.readRecord();
                    if (storeReachable && !process.isolated && now > process.currentFromMillis) {
                        process.versions.listConfirmed(now);
                    }
                    process.versions.tick(now);
                }
            }
            if (now % RECORD_MILLIS == 0 && storeReachable) {
                writeRecord();
            }
            if (now % DIGEST_MILLIS == 0) {
                sendDigests();
                noticeSilence();
            }
            if (random.nextDouble() < streamsPerSecond * STEP_MILLIS / 1_000.0) {
                begin();
            }
            while (!returns.isEmpty() && returns.peek().returnMillis() <= now) {
                resume(returns.poll());
            }
        }
    }

    private String name(Gateway process) {
        return "p" + processes.indexOf(process);
    }

    /** Has each process that runs tell all others, as digests do. */
    private void sendDigests() {
        for (Gateway sender : processes) {
            List<StreamRecord> news =
                    sender.isRunning() && !sender.isolated
                            ? sender.versions.news(now)
                            : List.<StreamRecord>of();
            Map<String, Long> silences =
                    sender.isRunning() && !sender.isolated
                            ? sender.versions.silences(now)
                            : Map.<String, Long>of();
            Map<String, Long> waits =
                    sender.isRunning() && !sender.isolated
                            ? sender.versions.newWaits(now)
                            : Map.<String, Long>of();
            for (Gateway receiver : processes) {
                if (receiver != sender && receiver.isRunning() && !receiver.isolated) {
                    news.forEach(stream -> receiver.versions.learned(stream, now));
                    silences.forEach(
                            (peer, since) -> receiver.versions.learnedSilence(peer, since, now));
                    waits.forEach((route, wait) -> receiver.versions.learnedWait(route, wait, now));
                }
            }
        }
    }

    /** Tells each process that others have been silent for long, or have been heard again. */
    private void noticeSilence() {
        for (Gateway process : processes) {
            for (Gateway peer : processes) {
                boolean heard = peer.isRunning() && !peer.isolated && !process.isolated;
                if (peer == process || !process.isRunning()) {
                    continue;
                }
                String name = name(peer);
                if (heard) {
                    Long lastMillis = process.heardMillis.put(name, now);
                    if (lastMillis == null || lastMillis < peer.downUntilMillis) {
                        process.versions.peerLinked(now);
                    }
                    process.versions.peerHeard(name, now);
                } else if (now - process.heardMillis.getOrDefault(name, now) > SILENCE_MILLIS) {
                    process.versions.peerSilent(name, process.heardMillis.remove(name));
                }
            }
        }
    }

    /** Has the first process that runs and knows what served lately write it to the store. */
    private void writeRecord() {
        processes.stream()
                .filter(process -> process.isRunning() && !process.isolated)
                .map(process -> process.versions.recent(now))
                .flatMap(Optional::stream)
                .findFirst()
                .ifPresent(recent -> record = Optional.of(recent));
    }

    private Gateway running() {
        Gateway process = processes.get(random.nextInt(processes.size()));
        boolean avoided = callersAvoidIsolated && process.isolated;
        return process.isRunning() && !avoided ? process : processes.get(0);
    }

    private void begin() {
        Gateway process = running();
        if (!process.isRunning()) {
            return;
        }
        String attempt = "attempt-" + streams++;
        long deadlineMillis = now + DEADLINE_MILLIS;
        if (callersRetry && random.nextInt(RETRIES_SHARE) == 0) {
            deadlineMillis -= random.nextLong(MAX_RETRY_MILLIS);
        }
        if (waitsDiffer && random.nextBoolean()) {
            deadlineMillis += DEADLINE_MILLIS;
        }
        StreamCall call = new StreamCall(SERVICE, ROUTE, attempt, deadlineMillis);
        process.versions.requested(call, now);
        StreamOrigin origin = process.versions.assigned(call, now);
        List<Upstream> serving = process.directory.serving(SERVICE);
        String version =
                origin.required().orElseGet(() -> serving.get(streams % serving.size()).version());
        process.versions.began(call, version, now);
        long delay = random.nextLong(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS);
        returns.add(new Stream(attempt, version, now, deadlineMillis, now + delay));
    }

    /** Counts from now on only streams that have begun before. */
    final void countEarlierStreams() {
        countedBeforeMillis = now;
        resumed = 0;
        continued = 0;
    }

    private void resume(Stream stream) {
        Gateway process = running();
        long deadlineMillis = deadlines.millis(stream, random, now);
        StreamCall call = new StreamCall(SERVICE, ROUTE, stream.attempt(), deadlineMillis);
        StreamOrigin origin = process.versions.origin(call, now);
        if (!process.isRunning()) {
            return;
        }
        List<Upstream> serving = process.directory.serving(SERVICE);
        boolean known = origin.isKnown();
        if (known && origin.required().isEmpty() && !serving.isEmpty()) {
            String version = serving.get(++picked % serving.size()).version();
            joined += version.equals(stream.version()) ? 0 : 1;
        } else if (known && origin.required().isPresent()) {
            joined += origin.required().get().equals(stream.version()) ? 0 : 1;
        }
        boolean served = serving.stream().anyMatch(each -> each.version().equals(stream.version()));
        if (served && stream.beganMillis() < countedBeforeMillis) {
            resumed++;
            continued += known ? 1 : 0;
        }
    }

    final void assertContinued(double minShare) {
        assertEquals(0, joined, seen());
        assertTrue(goOn(minShare), seen());
    }

    /** Returns whether none of the streams was joined and enough of them went on. */
    final boolean goOn(double minShare) {
        return joined == 0 && continued >= minShare * resumed;
    }

    /** Describes what became of the streams. */
    final String seen() {
        return joined + " joined, " + continued + " of " + resumed + " continued";
    }
}
