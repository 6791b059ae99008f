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

import io.trailladder.core.rollout.VersionGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Determines the version of upstreams at which a stream begins and at which it may be resumed. What
 * two versions generate must not be joined.
 *
 * <p>While a service has several versions, the version of a stream follows from the id of its first
 * attempt, by rendezvous hashing with the number of slots of each version as its weight. So every
 * process can tell which version began a stream, also one that has just started. Versions come and
 * go, and processes notice that at different times. Where a stream's version is not the same for
 * all weights since it may have begun, the process that began it tells the others; one that was not
 * told does not resume it.
 *
 * <p>A process that starts does not know which versions served before. It needs what a process that
 * ran then has {@linkplain #recent recorded}; until it knows, it does not resume streams that may
 * have begun before its start.
 *
 * <pre>{@code
 * StreamOrigin begin = streams.assigned("chat", attemptId, nowMillis);
 * streams.began("chat", attemptId, upstream.version(), nowMillis);
 * StreamOrigin origin = streams.origin("chat", route, attemptId, waitMillis, nowMillis);
 * }</pre>
 *
 * @since 0.6
 */
public final class StreamVersions {
    /** Maximum age of a stream that is resumed, in milliseconds. */
    public static final long MAX_AGE_MILLIS = 20_000;

    /**
     * How long after the start of this process the version is unknown of a stream that may have
     * begun before, in milliseconds, if nothing was recorded then: upstreams may have left or come
     * shortly before.
     */
    static final long SETTLE_MILLIS = 3_000;

    /**
     * How much later than its caller a process may count the start of a stream, in milliseconds.
     */
    private static final long AGE_TOLERANCE_MILLIS = 1_000;

    /** How much later than another process this one may notice a change, in milliseconds. */
    private static final long LAG_MILLIS = 500;

    private static final long UNKNOWN_WAIT_MILLIS = 60_000;

    private final UpstreamDirectory directory;
    private final VersionGate versions;
    private final long startedMillis;
    private final Map<String, VersionWeights> weights = new HashMap<>();
    private final Map<String, Long> longestWaits = new HashMap<>();
    private final BegunStreams begun = new BegunStreams();
    private Earlier earlier = Earlier.UNKNOWN;
    private Map<String, List<VersionRange>> earlierRanges = Map.of();

    /** What is known of the versions that served before this process started. */
    private enum Earlier {
        UNKNOWN,
        NOT_RECORDED,
        RECORDED
    }

    /**
     * Creates an instance that knows of no streams.
     *
     * @param directory the known upstreams
     * @param versions decides which versions new requests may go to
     * @param startedMillis when this process started, in milliseconds
     */
    public StreamVersions(UpstreamDirectory directory, VersionGate versions, long startedMillis) {
        this.directory = directory;
        this.versions = versions;
        this.startedMillis = startedMillis;
    }

    /**
     * Records which versions served before this process started.
     *
     * @param ranges the slots of each version by service, as {@link #recent} returned them
     */
    public void recordedBefore(Map<String, List<VersionRange>> ranges) {
        earlier = Earlier.RECORDED;
        earlierRanges = Map.copyOf(ranges);
        weights.forEach(this::applyRecorded);
    }

    /**
     * Records that no process has recorded which versions served before this process started. Only
     * the upstreams that are listed, or leave, are then known.
     */
    public void notRecordedBefore() {
        earlier = Earlier.NOT_RECORDED;
    }

    /**
     * Returns whether it was recorded which versions served before, or that nothing was.
     *
     * @return false until one of the two is known
     */
    public boolean isEarlierKnown() {
        return earlier != Earlier.UNKNOWN;
    }

    private void applyRecorded(String service, VersionWeights own) {
        own.recordedBefore(earlierRanges.getOrDefault(service, List.of()));
    }

    /**
     * Returns which versions served lately, for processes that start later.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the slots of each version by service; empty if this process does not know them yet
     */
    public Optional<Map<String, List<VersionRange>>> recent(long nowMillis) {
        long sinceMillis = nowMillis - MAX_AGE_MILLIS;
        boolean unknown = !isEarlierKnown() && sinceMillis < startedMillis;
        if (unknown || weights.isEmpty()) {
            return Optional.empty();
        }
        Map<String, List<VersionRange>> ranges = new HashMap<>();
        weights.forEach((service, own) -> ranges.put(service, own.ranges(sinceMillis)));
        return Optional.of(ranges);
    }

    /**
     * Returns the version at which a new stream begins. During a roll-out, which decides that by
     * itself, any version may be chosen; other processes know it only if they are told.
     *
     * @param service the service
     * @param attempt the id of the caller's attempt
     * @param nowMillis the current time, in milliseconds
     * @return the version, or {@link StreamOrigin#ANY}
     */
    public StreamOrigin assigned(String service, String attempt, long nowMillis) {
        if (isChosenByRollout(service, nowMillis)) {
            return StreamOrigin.ANY;
        }
        return record(service, nowMillis)
                .assigned(attempt)
                .map(StreamOrigin::assigned)
                .orElse(StreamOrigin.ANY);
    }

    /**
     * Records that this process forwarded the first event of a stream.
     *
     * @param service the service
     * @param attempt the id of the caller's attempt
     * @param version the version of the upstream that sent the event
     * @param nowMillis the current time, in milliseconds
     */
    public void began(String service, String attempt, String version, long nowMillis) {
        begun.add(service, attempt, version, nowMillis);
    }

    /**
     * Returns the streams of which the others must be told where they began.
     *
     * @param nowMillis the current time, in milliseconds
     * @return streams that began at this process, or of which it was told lately
     */
    public List<StreamRecord> news(long nowMillis) {
        return begun.news(nowMillis);
    }

    /**
     * Records where a stream began at another process.
     *
     * @param stream the stream
     * @param nowMillis the current time, in milliseconds
     */
    public void learned(StreamRecord stream, long nowMillis) {
        begun.learned(stream, nowMillis);
    }

    /**
     * Records how long the caller of a new stream waits for it. Streams of its route are no older
     * than the time by which their callers wait less.
     *
     * @param route the route's name
     * @param waitMillis how long the caller waits, in milliseconds; 0 if it does not say
     */
    public void requested(String route, long waitMillis) {
        longestWaits.merge(route, waitMillis > 0 ? waitMillis : UNKNOWN_WAIT_MILLIS, Math::max);
    }

    /**
     * Returns where a stream began that its caller resumes.
     *
     * @param service the service
     * @param route the route's name
     * @param attempt the id of the caller's attempt that brought the first event; empty if the
     *     caller does not name it
     * @param waitMillis how long the caller still waits, in milliseconds; 0 if it does not say
     * @param nowMillis the current time, in milliseconds
     * @return the version, if it is known
     */
    public StreamOrigin origin(
            String service, String route, String attempt, long waitMillis, long nowMillis) {
        Optional<String> recorded = begun.version(attempt);
        if (recorded.isPresent()) {
            return StreamOrigin.recorded(recorded.get());
        }
        VersionWeights history = record(service, nowMillis);
        long beganMillis = nowMillis - maxAgeMillis(route, waitMillis);
        boolean older = beganMillis < startedMillis;
        if (older && !isEarlierKnown()) {
            return StreamOrigin.UNKNOWN;
        }
        List<VersionRange> ranges = history.ranges(beganMillis);
        if (ranges.size() <= 1) {
            return StreamOrigin.ANY;
        }
        boolean unsettled =
                earlier == Earlier.NOT_RECORDED && nowMillis - startedMillis < SETTLE_MILLIS;
        if (attempt.isEmpty() || (older && unsettled)) {
            return StreamOrigin.UNKNOWN;
        }
        return VersionWeights.assigned(attempt, ranges)
                .map(StreamOrigin::computed)
                .orElse(StreamOrigin.UNKNOWN);
    }

    private long maxAgeMillis(String route, long waitMillis) {
        Long longest = longestWaits.get(route);
        if (longest == null || waitMillis <= 0) {
            return MAX_AGE_MILLIS;
        }
        long age = longest - waitMillis + AGE_TOLERANCE_MILLIS;
        return Math.max(AGE_TOLERANCE_MILLIS, Math.min(MAX_AGE_MILLIS, age));
    }

    /**
     * Records the upstreams of all services. To be called several times a second.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void tick(long nowMillis) {
        directory.services().forEach(service -> record(service, nowMillis));
        if (nowMillis - startedMillis <= MAX_AGE_MILLIS) {
            weights.forEach(this::recordLeaving);
        }
        begun.tell(this::isUncertain, nowMillis);
    }

    /** Returns whether other processes may not compute the version at which a stream began. */
    private boolean isUncertain(BegunStreams.Begun stream) {
        VersionWeights history = weights.get(stream.service());
        long sinceMillis = stream.beganMillis() - AGE_TOLERANCE_MILLIS - LAG_MILLIS;
        List<VersionRange> ranges = history == null ? List.of() : history.ranges(sinceMillis);
        return ranges.size() > 1
                && !VersionWeights.assigned(stream.attempt(), ranges)
                        .equals(Optional.of(stream.version()));
    }

    /** Returns whether a roll-out chooses the version of each stream, so that none is assigned. */
    private boolean isChosenByRollout(String service, long nowMillis) {
        return versions.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal() || rollout.waitMillis(nowMillis) > 0)
                .isPresent();
    }

    private VersionWeights newWeights(String service) {
        VersionWeights own = new VersionWeights();
        recordLeaving(service, own);
        if (earlier == Earlier.RECORDED) {
            applyRecorded(service, own);
        }
        return own;
    }

    private void recordLeaving(String service, VersionWeights own) {
        own.leavingBefore(directory.leaving(service));
    }

    private VersionWeights record(String service, long nowMillis) {
        List<Upstream> listed = directory.serving(service);
        VersionWeights own = weights.computeIfAbsent(service, this::newWeights);
        if (own.hasOnlyVersionOf(listed)) {
            return own;
        }
        if (isChosenByRollout(service, nowMillis)) {
            own.record(listed, List.of(), nowMillis);
            return own;
        }
        List<Upstream> admitted = versions.admitted(service, listed, false, nowMillis);
        // a version that an ended roll-out excludes gets no requests, though it is listed
        boolean rolloutEnded = versions.rollout(service).isPresent();
        own.record(rolloutEnded ? admitted : listed, admitted, nowMillis);
        return own;
    }
}
