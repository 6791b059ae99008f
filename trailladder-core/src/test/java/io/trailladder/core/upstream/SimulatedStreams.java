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
    private static final long SETTLE_MILLIS = 25_000;
    private static final long STEP_MILLIS = 20;
    private static final long DIGEST_MILLIS = 200;
    private static final long SILENCE_MILLIS = 1_200;
    private static final long MAX_LAG_MILLIS = 300;
    private static final long MIN_RETURN_MILLIS = 400;
    private static final long MAX_RETURN_MILLIS = 4_000;
    private static final long RECORD_MILLIS = 40;
    private static final long ENTRY_MILLIS = 10_000;
    private static final long MAX_PLAN_WAIT_MILLIS = 1_000;
    private static final int COPIES = 2;
    private static final int FAILED_SHARE = 5;

    SplittableRandom random;
    final List<Gateway> processes = new ArrayList<>();
    private final PriorityQueue<Change> changes =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    private final PriorityQueue<Stream> returns =
            new PriorityQueue<>(
                    (one, other) -> Long.compare(one.returnMillis(), other.returnMillis()));
    private final List<Waiting> waiting = new ArrayList<>();
    private long now;
    private int streams;
    int resumed;
    private int continued;
    int joined;

    /** New streams that did not begin. */
    int refused;

    private int picked;
    private Optional<VersionRecord> record = Optional.empty();

    private RecordTimes recordTimes = new RecordTimes(Map.of(), Map.of(), Map.of());

    /** Incremented with each write of the record. */
    private int recordRevision;

    boolean storeReachable;

    /** Whether some streams are sent to a second upstream before their first event. */
    boolean attemptsFail = true;

    /** Only streams that began earlier are counted as resumed. */
    private long countedBeforeMillis;

    /** Whether callers reach only processes that are not cut off. */
    boolean callersAvoidIsolated;

    /** A change of the list that a process notices at a time. */
    private record Change(long atMillis, Gateway process, Upstream upstream, boolean added) {
        Change at(long millis) {
            return new Change(millis, process, upstream, added);
        }
    }

    /** A stream whose caller comes back. */
    private record Stream(String attempt, String version, long beganMillis, long returnMillis) {}

    /** A request for a new stream that waits for a plan. */
    private record Waiting(Gateway process, StreamCall call, long sinceMillis) {}

    /** One process, which loses all it knows but the list and the record when it restarts. */
    final class Gateway {
        private final UpstreamDirectory directory = new UpstreamDirectory();
        private StreamVersions versions;
        private long downUntilMillis;

        /** Whether it has received a list of upstreams, from the store or from a peer. */
        private boolean listed;

        /** The revision of the record that was read or written last; 0 if none was. */
        private int revision;

        private boolean isolated;

        /** Whether it reaches the store, but no other process. */
        boolean cutFromPeers;

        private long currentFromMillis;

        /** When its entry in the store was last renewed. */
        private long registeredMillis;

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
            listed = false;
            revision = 0;
            heardMillis.clear();
        }

        /** Cuts this process off from the store and from all other processes. */
        void isolate() {
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

        private boolean reachesStore() {
            return storeReachable && !isolated;
        }

        /** Reads the record; returns false if the store does not answer. */
        private boolean readRecord() {
            if (reachesStore()) {
                record.ifPresentOrElse(
                        earlier -> versions.record().read(earlier, recordTimes, now, now),
                        () -> versions.record().nothingRead(now));
                revision = recordRevision;
            }
            return reachesStore();
        }

        /** Reads the list and the record when this process starts, and a plan that it lacks. */
        private void tick() {
            if (!listed && isUp()) {
                listed = readRecord();
            }
            if (isRunning() && reachesStore()) {
                registeredMillis = now;
            }
            if (isRunning() && reachesStore() && now > currentFromMillis) {
                versions.list().confirmed(now);
            }
        }

        /** Returns whether the store lists a process; one that is cut off keeps its last list. */
        private boolean lists(Gateway peer) {
            return !reachesStore() || now - peer.registeredMillis <= ENTRY_MILLIS;
        }

        /** Returns the plan by which this process assigns streams. */
        long plan() {
            return versions.plans().current().number();
        }

        private long startedMillis() {
            return downUntilMillis;
        }

        private boolean isUp() {
            return now >= downUntilMillis;
        }

        /** Returns whether this process serves: without a list it refuses all requests. */
        boolean isRunning() {
            return isUp() && listed;
        }

        /** Returns whether this process has noticed the start of another one. */
        private boolean isLinkedTo(Gateway peer) {
            Long heard = heardMillis.get(name(peer));
            return heard != null && heard >= peer.downUntilMillis;
        }

        private boolean isHeardBy(Gateway peer) {
            boolean cut = cutFromPeers || peer.cutFromPeers || isolated || peer.isolated;
            return peer != this && !cut && isUp() && peer.isUp();
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
        refused = 0;
        record = Optional.empty();
        recordRevision = 0;
        storeReachable = true;
        callersAvoidIsolated = false;
        countedBeforeMillis = Long.MAX_VALUE;
        processes.clear();
        changes.clear();
        returns.clear();
        waiting.clear();
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
            processes.forEach(Gateway::tick);
            if (now % RECORD_MILLIS == 0) {
                writeRecord();
            }
            if (now % DIGEST_MILLIS == 0) {
                noticeSilence();
                sendDigests();
                processes.stream()
                        .filter(Gateway::isRunning)
                        .forEach(process -> process.versions.tick(now));
            }
            List<Waiting> continued = List.copyOf(waiting);
            waiting.clear();
            continued.forEach(this::begin);
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
            if (!sender.isRunning()) {
                continue;
            }
            StreamVersions own = sender.versions;
            tellNews(sender);
            long used = own.usedNumber(List.of(), false, now);
            for (Gateway receiver : processes) {
                if (sender.isHeardBy(receiver)) {
                    StreamVersions versions = receiver.versions;
                    receiver.listed = true;
                    versions.peerHeard(name(sender), now);
                    versions.plans()
                            .told(own.plans().current().number(), own.plans().news(now), now);
                    versions.planUsed(name(sender), used, now);
                    own.list()
                            .silences(now)
                            .forEach(
                                    (peer, since) ->
                                            versions.list().learnedSilence(peer, since, now));
                }
            }
        }
        for (Gateway process : processes) {
            if (process.isRunning() && process.reachesStore()) {
                process.versions.peersListed(othersOf(process), now);
                if (process.versions.plans().isOutdated()) {
                    process.readRecord();
                }
            }
        }
    }

    private List<String> othersOf(Gateway process) {
        return processes.stream()
                .filter(peer -> peer != process && process.lists(peer))
                .map(this::name)
                .toList();
    }

    /** Has a process tell all others of streams that do not follow from the plans. */
    private void tellNews(Gateway process) {
        List<StreamRecord> news = process.versions.takeNews();
        processes.stream()
                .filter(process::isHeardBy)
                .forEach(peer -> news.forEach(each -> peer.versions.learned(each, now)));
    }

    /** Has one process that has been linked to another tell it what it must know. */
    private void introduce(Gateway process, Gateway peer) {
        peer.versions.peerLinked(name(process), now);
        process.versions.told(now).forEach(each -> peer.versions.learned(each, now));
    }

    /** Tells each process that others have been silent for long, or have been linked again. */
    private void noticeSilence() {
        for (Gateway process : processes) {
            for (Gateway peer : processes) {
                if (peer == process || !process.isUp()) {
                    continue;
                }
                String name = name(peer);
                if (peer.isHeardBy(process)) {
                    Long lastMillis = process.heardMillis.put(name, now);
                    if (lastMillis == null || lastMillis < peer.downUntilMillis) {
                        introduce(peer, process);
                        introduce(process, peer);
                    }
                } else if (now - process.heardMillis.getOrDefault(name, now) > SILENCE_MILLIS) {
                    process.versions.peerRemoved(name, now);
                    process.versions.peerSilent(name, process.heardMillis.remove(name));
                }
            }
        }
    }

    /** Has the leader, the first process that reaches the store, write the record if it changes. */
    private void writeRecord() {
        Optional<Gateway> leader =
                processes.stream()
                        .filter(process -> process.isRunning() && process.reachesStore())
                        .findFirst();
        if (leader.isEmpty()) {
            return;
        }
        Gateway process = leader.get();
        if (process.revision != recordRevision) {
            process.readRecord();
            return;
        }
        Optional<VersionRecord> next = process.versions.record().next(now);
        if (next.isPresent() && !next.equals(record)) {
            record = next;
            recordTimes = process.versions.record().times(now);
            process.revision = ++recordRevision;
            process.versions.record().written(next.get(), now);
        }
    }

    private Gateway running() {
        Gateway process = processes.get(random.nextInt(processes.size()));
        boolean avoided = callersAvoidIsolated && process.isolated;
        return process.isRunning() && !avoided ? process : processes.get(0);
    }

    private void begin() {
        Gateway process = running();
        if (process.isRunning()) {
            begin(new Waiting(process, new StreamCall(SERVICE, "attempt-" + streams++), now));
        }
    }

    /** Begins a stream, or has it wait for a plan. */
    private void begin(Waiting request) {
        Gateway process = request.process();
        StreamCall call = request.call();
        boolean waits = now - request.sinceMillis() < MAX_PLAN_WAIT_MILLIS;
        if (!process.isRunning() || process.startedMillis() > request.sinceMillis()) {
            return;
        }
        if (waits && process.versions.awaitsPlan(call, now)) {
            waiting.add(request);
            return;
        }
        StreamOrigin origin = process.versions.assigned(call, now);
        if (!origin.isKnown()) {
            refused++;
            return;
        }
        List<Upstream> serving = process.directory.serving(SERVICE);
        if (serving.isEmpty()) {
            return;
        }
        String version =
                origin.required().orElseGet(() -> serving.get(streams % serving.size()).version());
        if (attemptsFail && random.nextInt(FAILED_SHARE) == 0) {
            send(process, call, serving.get(random.nextInt(serving.size())).version());
        }
        send(process, call, version);
        receive(process, call, version);
        long delay = random.nextLong(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS);
        returns.add(new Stream(call.attempt(), version, now, now + delay));
    }

    /** Has a process send a stream to an upstream. */
    private void send(Gateway process, StreamCall call, String version) {
        process.versions.sent(call, version, now);
        tellNews(process);
    }

    /** Has a stream of a process bring its first event. */
    private void receive(Gateway process, StreamCall call, String version) {
        process.versions.began(call, version, now);
        tellNews(process);
        processes.stream()
                .filter(process::isHeardBy)
                .limit(COPIES)
                .forEach(peer -> peer.versions.learned(StreamVersions.hash(call), version));
    }

    /** Counts from now on only streams that have begun before. */
    final void countEarlierStreams() {
        countedBeforeMillis = now;
        resumed = 0;
        continued = 0;
    }

    /** Asks all other processes where a stream began; returns whether all of them answered. */
    private boolean askOthers(Gateway process, StreamCall call) {
        long hash = StreamVersions.hash(call);
        boolean all = true;
        for (Gateway peer : processes) {
            if (peer.isHeardBy(process) && peer.isRunning() && process.isLinkedTo(peer)) {
                peer.versions
                        .recorded(hash)
                        .ifPresent(version -> process.versions.learned(hash, version));
                long plan = peer.versions.plans().current().number();
                process.versions.plans().told(plan, Optional.empty(), now);
            } else {
                all &= peer == process || !process.lists(peer);
            }
        }
        return all;
    }

    private StreamOrigin find(Gateway process, StreamCall call) {
        Optional<StreamOrigin> recorded = process.versions.recorded(call);
        if (recorded.isPresent()) {
            return recorded.get();
        }
        boolean answered = askOthers(process, call);
        StreamOrigin origin =
                process.versions.computed(call, new StreamInquiry(answered, true, false), now);
        if (origin.source() != StreamOrigin.Source.OUTDATED) {
            return origin;
        }
        boolean read = process.readRecord();
        return process.versions.computed(call, new StreamInquiry(answered, true, read), now);
    }

    private void resume(Stream stream) {
        Gateway process = running();
        if (!process.isRunning()) {
            return;
        }
        StreamCall call = new StreamCall(SERVICE, stream.attempt());
        StreamOrigin origin = find(process, call);
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

    /** Returns the oldest plan in the record. */
    final long recordedSince() {
        return record.map(VersionRecord::oldestNumber).orElse(0L);
    }

    /** Describes what became of the streams. */
    final String seen() {
        return joined + " joined, " + continued + " of " + resumed + " continued";
    }
}
