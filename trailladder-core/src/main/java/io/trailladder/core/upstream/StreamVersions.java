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
 * attempt, by rendezvous hashing with the number of slots of each version as its weight. The slots
 * are those of the time when the caller first called. Its deadline tells that time to every process
 * that it calls, so each can tell which version began the stream, also one that has just started.
 * Processes notice changes at different times. Where a stream's version is not the same for all
 * slots that may have been in force, the process that began it tells the others; one that was not
 * told does not resume it.
 *
 * <p>A process that starts does not know which versions served before. It needs what a process that
 * ran then has {@linkplain #recent recorded}; until it knows, it does not resume streams that may
 * have begun before its start. A process whose list of upstreams may be outdated does not resume
 * streams that may have begun since, unless it knows itself where they did.
 *
 * <pre>{@code
 * StreamCall call = new StreamCall("chat", route, attemptId, deadlineMillis);
 * StreamOrigin begin = streams.assigned(call, nowMillis);
 * streams.began(call, upstream.version(), nowMillis);
 * StreamOrigin origin = streams.origin(call, nowMillis);
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

    /** How often the record must show that it is still valid, in milliseconds. */
    private static final long RECORD_INTERVAL_MILLIS = 4_000;

    /** The same while a service has several versions, in milliseconds. */
    private static final long MIXED_RECORD_INTERVAL_MILLIS = 1_000;

    /**
     * How much later one process may notice a change, or count the first call of a caller, than
     * another one, in milliseconds.
     */
    private static final long TOLERANCE_MILLIS = 700;

    private final UpstreamDirectory directory;
    private final VersionGate versions;

    /** From when on this process knows the versions itself, in milliseconds. */
    private long startedMillis;

    private final Map<String, VersionHistory> histories = new HashMap<>();
    private final RouteWaits waits = new RouteWaits();
    private final BegunStreams begun = new BegunStreams();
    private final ListFreshness freshness;
    private Earlier earlier = Earlier.UNKNOWN;
    private Optional<VersionRecord> earlierRecord = Optional.empty();
    private boolean earlierTimesKnown;

    /** When the list was last not known to be current, in milliseconds. */
    private long outdatedMillis;

    /** Since when the list was not confirmed then, in milliseconds. */
    private long unconfirmedSinceMillis;

    /** When a peer was last linked, in milliseconds. One that starts admits all that is listed. */
    private long peerLinkedMillis = Long.MIN_VALUE / 2;

    /** From when on this process assigns versions as those do that have run for longer. */
    private long settledMillis;

    /** What is known of the versions that served before this process started. */
    private enum Earlier {
        UNKNOWN,
        NOT_RECORDED,
        RECORDED
    }

    /**
     * Creates an instance that knows of no streams.
     *
     * @param own the name of this process
     * @param directory the known upstreams
     * @param versions decides which versions new requests may go to
     * @param startedMillis when this process started, in milliseconds
     */
    public StreamVersions(
            String own, UpstreamDirectory directory, VersionGate versions, long startedMillis) {
        this.directory = directory;
        this.versions = versions;
        this.startedMillis = startedMillis;
        this.outdatedMillis = startedMillis;
        this.unconfirmedSinceMillis = startedMillis;
        this.settledMillis = startedMillis + SETTLE_MILLIS;
        this.freshness = new ListFreshness(own, startedMillis);
    }

    /**
     * Records which versions served before this process started. May be called again once the times
     * of the steps are known better.
     *
     * @param record what {@link #recent} returned, with times on the clock of this process
     * @param timesKnown false if that clock cannot yet be compared with the one of the record
     * @param nowMillis the current time, in milliseconds
     */
    public void recordedBefore(VersionRecord record, boolean timesKnown, long nowMillis) {
        earlier = Earlier.RECORDED;
        earlierRecord = Optional.of(record);
        earlierTimesKnown = timesKnown;
        waits.recordedBefore(record.longestWaits());
        if (timesKnown) {
            record.silences()
                    .forEach((peer, since) -> freshness.learnedSilence(peer, since, nowMillis));
        }
        begun.recordedBefore(record.streams(), nowMillis);
        histories.forEach(this::applyRecorded);
        if (timesKnown) {
            settledMillis = Math.min(settledMillis, nowMillis);
            record.steps().forEach(this::admitAsBefore);
        }
    }

    /** Has versions that were first listed lately wait as long as at processes that ran then. */
    private void admitAsBefore(String service, List<VersionStep> steps) {
        Map<String, Long> firstListed = new HashMap<>();
        for (VersionStep step : steps) {
            boolean first = step.equals(steps.get(0));
            long fromMillis = first ? step.fromMillis() - MAX_AGE_MILLIS : step.fromMillis();
            step.listed().keySet().forEach(version -> firstListed.putIfAbsent(version, fromMillis));
        }
        versions.listedBefore(service, firstListed, startedMillis);
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

    private void applyRecorded(String service, VersionHistory own) {
        earlierRecord.ifPresent(
                record ->
                        own.recordedBefore(
                                record.steps().getOrDefault(service, List.of()),
                                record.validMillis(),
                                earlierTimesKnown));
    }

    /**
     * Returns which versions served lately, for processes that start later.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the record; empty if this process does not know them yet
     */
    public Optional<VersionRecord> recent(long nowMillis) {
        long sinceMillis = nowMillis - MAX_AGE_MILLIS;
        boolean unknown = !isEarlierKnown() && sinceMillis < startedMillis;
        if (unknown || histories.isEmpty()) {
            return Optional.empty();
        }
        Map<String, List<VersionStep>> steps = new HashMap<>();
        histories.forEach((service, own) -> steps.put(service, own.recent(sinceMillis)));
        boolean mixed = steps.values().stream().anyMatch(StreamVersions::haveSeveralVersions);
        long intervalMillis = mixed ? MIXED_RECORD_INTERVAL_MILLIS : RECORD_INTERVAL_MILLIS;
        long validMillis = nowMillis - nowMillis % intervalMillis;
        return Optional.of(
                new VersionRecord(
                        validMillis,
                        steps,
                        waits.longest(),
                        freshness.silences(nowMillis),
                        begun.told(nowMillis)));
    }

    private static boolean haveSeveralVersions(List<VersionStep> steps) {
        return steps.stream().flatMap(step -> step.listed().keySet().stream()).distinct().count()
                > 1;
    }

    /**
     * Records that the list of upstreams was shown to be current.
     *
     * @param atMillis when, in milliseconds
     */
    public void listConfirmed(long atMillis) {
        long beforeMillis = freshness.confirmedMillis();
        if (atMillis - beforeMillis > ListFreshness.MAX_CONFIRMATION_GAP_MILLIS) {
            unconfirmedSinceMillis = beforeMillis;
            outdatedMillis = atMillis;
            settledMillis = Math.max(settledMillis, atMillis + SETTLE_MILLIS);
        }
        freshness.confirmed(atMillis);
    }

    /**
     * Returns how long ago the list of upstreams was last shown to be current.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the age, in milliseconds
     */
    public long listAgeMillis(long nowMillis) {
        return freshness.ageMillis(nowMillis);
    }

    /**
     * Returns until when the list of upstreams is known to be the one that all processes use.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the time, in milliseconds; at the latest now
     */
    public long listCurrentUntilMillis(long nowMillis) {
        // a process that has no list yet does not serve by an old one
        return freshness.isEverConfirmed() ? freshness.currentUntilMillis(nowMillis) : nowMillis;
    }

    /**
     * Describes by what a stream is not resumed, for a log line.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return when its caller may have called first, and the steps of the versions' slots that may
     *     have been in force then, with their ages
     */
    public String describe(StreamCall call, long nowMillis) {
        VersionHistory history = record(call.service(), nowMillis);
        RouteWaits.FirstCall first = waits.firstCall(call, nowMillis);
        long earliestMillis = first.earliestMillis() - TOLERANCE_MILLIS;
        long latestMillis = Math.min(nowMillis, first.latestMillis() + TOLERANCE_MILLIS);
        long sinceMillis = sinceSilence(earliestMillis, latestMillis);
        return "first called %d to %d ms ago; %s"
                .formatted(
                        nowMillis - sinceMillis,
                        nowMillis - latestMillis,
                        history.describe(sinceMillis, latestMillis, nowMillis));
    }

    /**
     * Records that a peer sends nothing any more, though it has not announced that it stops. It may
     * still serve callers by the list of upstreams that it had.
     *
     * @param peer the peer's name
     * @param sinceMillis when it last sent something, in milliseconds
     */
    public void peerSilent(String peer, long sinceMillis) {
        freshness.peerSilent(peer, sinceMillis);
    }

    /**
     * Records that a peer tells that another one is silent. It is over when no peer tells it any
     * more.
     *
     * @param peer the silent peer's name
     * @param sinceMillis when the silent peer last sent something, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void learnedSilence(String peer, long sinceMillis, long nowMillis) {
        freshness.learnedSilence(peer, sinceMillis, nowMillis);
    }

    /**
     * Records that a peer tells that its list of upstreams may be outdated.
     *
     * @param peer the peer's name
     * @param sinceMillis since when, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void peerOutdated(String peer, long sinceMillis, long nowMillis) {
        freshness.peerOutdated(peer, sinceMillis, nowMillis);
    }

    /**
     * Records that the process that forwards the list of upstreams to this one may lack changes.
     *
     * @param currentUntilMillis until when its list is known to be current, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void feederOutdated(long currentUntilMillis, long nowMillis) {
        freshness.feederOutdated(currentUntilMillis, nowMillis);
    }

    /**
     * Returns since when each peer has been silent that may still serve callers. Processes that
     * start must be told of them.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the times by peer, in milliseconds
     */
    public Map<String, Long> silences(long nowMillis) {
        return freshness.silences(nowMillis);
    }

    /**
     * Records that a peer has been linked. It may have just started.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void peerLinked(long nowMillis) {
        peerLinkedMillis = nowMillis;
        waits.tellAll(nowMillis);
    }

    /**
     * Records that a peer has sent something.
     *
     * @param peer the peer's name
     * @param nowMillis the current time, in milliseconds
     */
    public void peerHeard(String peer, long nowMillis) {
        freshness.peerHeard(peer, nowMillis);
    }

    /**
     * Returns the version at which a new stream begins. During a roll-out, which decides that by
     * itself, any version may be chosen; other processes know it only if they are told.
     *
     * @param call the caller's request
     * @param nowMillis the current time, in milliseconds
     * @return the version, or {@link StreamOrigin#ANY}
     */
    public StreamOrigin assigned(StreamCall call, long nowMillis) {
        if (isChosenByRollout(call.service(), nowMillis)) {
            return StreamOrigin.ANY;
        }
        return record(call.service(), nowMillis)
                .assigned(call.attempt(), waits.firstCallMillis(call, nowMillis))
                .map(StreamOrigin::assigned)
                .orElse(StreamOrigin.ANY);
    }

    /**
     * Records that this process forwarded the first event of a stream.
     *
     * @param call the request of the caller that began it
     * @param version the version of the upstream that sent the event
     * @param nowMillis the current time, in milliseconds
     */
    public void began(StreamCall call, String version, long nowMillis) {
        if (call.attempt().isEmpty()) {
            return;
        }
        begun.add(
                new BegunStreams.Begun(
                        call.service(),
                        call.attempt(),
                        version,
                        waits.firstCallMillis(call, nowMillis),
                        nowMillis,
                        isListCurrent(nowMillis)));
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
     * Records the request of the caller of a new stream. The longest time that callers of its route
     * wait tells when a caller that retries first called.
     *
     * @param call the request
     * @param nowMillis the current time, in milliseconds
     */
    public void requested(StreamCall call, long nowMillis) {
        if (call.hasDeadline()) {
            waits.requested(call.route(), call.deadlineMillis() - nowMillis, nowMillis);
        }
    }

    /**
     * Returns the longest waits that became known lately, of which the others must be told.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the longest wait by route, in milliseconds
     */
    public Map<String, Long> newWaits(long nowMillis) {
        return waits.news(nowMillis);
    }

    /**
     * Records how long callers of a route wait according to another process.
     *
     * @param route the route's name
     * @param waitMillis the longest wait, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void learnedWait(String route, long waitMillis, long nowMillis) {
        waits.requested(route, waitMillis, nowMillis);
    }

    /**
     * Returns where a stream began that its caller resumes.
     *
     * @param call the caller's request, with the id of the attempt that brought the first event
     * @param nowMillis the current time, in milliseconds
     * @return the version, if it is known
     */
    public StreamOrigin origin(StreamCall call, long nowMillis) {
        Optional<String> recorded = begun.version(call.attempt());
        if (recorded.isPresent() && !call.attempt().isEmpty()) {
            return StreamOrigin.recorded(recorded.get());
        }
        VersionHistory history = record(call.service(), nowMillis);
        RouteWaits.FirstCall first = waits.firstCall(call, nowMillis);
        long earliestMillis = first.earliestMillis() - TOLERANCE_MILLIS;
        long latestMillis = Math.min(nowMillis, first.latestMillis() + TOLERANCE_MILLIS);
        boolean older = earliestMillis < startedMillis;
        boolean unsettled =
                earlier == Earlier.NOT_RECORDED && nowMillis - startedMillis < SETTLE_MILLIS;
        if (older && !isEarlierKnown()) {
            return StreamOrigin.UNKNOWN;
        }
        if (latestMillis > freshness.currentUntilMillis(nowMillis)) {
            return StreamOrigin.OUTDATED;
        }
        long sinceMillis = sinceSilence(earliestMillis, latestMillis);
        StreamOrigin origin = history.origin(call.attempt(), sinceMillis, latestMillis);
        boolean computed = origin.source() == StreamOrigin.Source.COMPUTED;
        boolean untold = call.attempt().isEmpty() || (older && unsettled);
        return computed && untold ? StreamOrigin.UNKNOWN : origin;
    }

    /**
     * Returns from when on the slots count by which a stream may have begun: a silent peer goes on
     * with those that it knew.
     */
    private long sinceSilence(long earliestMillis, long latestMillis) {
        long silentMillis = freshness.silentSinceMillis();
        return latestMillis > silentMillis
                ? Math.min(earliestMillis, silentMillis - TOLERANCE_MILLIS)
                : earliestMillis;
    }

    /**
     * Records the upstreams of all services. To be called several times a second.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void tick(long nowMillis) {
        freshness.tick(nowMillis);
        directory.services().forEach(service -> record(service, nowMillis));
        if (nowMillis - startedMillis <= MAX_AGE_MILLIS) {
            histories.forEach(this::recordLeaving);
        }
        begun.tell(this::mustBeTold, nowMillis);
        if (isListCurrent(nowMillis)) {
            begun.tellOutdated(nowMillis);
        } else {
            outdatedMillis = nowMillis;
            settledMillis = nowMillis + SETTLE_MILLIS;
        }
    }

    private boolean isListCurrent(long nowMillis) {
        return freshness.currentUntilMillis(nowMillis) >= nowMillis;
    }

    /** Returns whether other processes may not compute the version at which a stream began. */
    private boolean mustBeTold(BegunStreams.Begun stream) {
        if (!stream.listCurrent()) {
            return true;
        }
        VersionHistory history = histories.get(stream.service());
        if (history == null) {
            return false;
        }
        StreamOrigin origin =
                history.origin(
                        stream.attempt(),
                        stream.firstCallMillis() - 2 * TOLERANCE_MILLIS,
                        stream.firstCallMillis() + 2 * TOLERANCE_MILLIS);
        boolean unsettled = stream.beganMillis() < settledMillis;
        return !origin.equals(StreamOrigin.ANY)
                && (unsettled || !origin.equals(StreamOrigin.computed(stream.version())));
    }

    /** Returns whether a roll-out chooses the version of each stream, so that none is assigned. */
    private boolean isChosenByRollout(String service, long nowMillis) {
        return versions.rollout(service)
                .filter(rollout -> !rollout.phase().isFinal() || rollout.waitMillis(nowMillis) > 0)
                .isPresent();
    }

    private VersionHistory newHistory(String service) {
        VersionHistory own = new VersionHistory();
        recordLeaving(service, own);
        if (earlier == Earlier.RECORDED) {
            applyRecorded(service, own);
        }
        return own;
    }

    private void recordLeaving(String service, VersionHistory own) {
        own.leavingBefore(directory.leaving(service));
    }

    /** Returns whether versions that were listed at a time may not yet be admitted everywhere. */
    private static boolean isRecent(long listedMillis, long nowMillis) {
        return nowMillis - listedMillis <= VersionGate.UNORDERED_VERSION_DELAY_MILLIS;
    }

    private VersionHistory record(String service, long nowMillis) {
        if (histories.isEmpty()) {
            startedMillis = Math.max(startedMillis, nowMillis);
        }
        List<Upstream> listed = directory.serving(service);
        VersionHistory own = histories.computeIfAbsent(service, this::newHistory);
        if (own.hasOnlyVersionOf(listed)) {
            return own;
        }
        long oldestMillis = Math.min(nowMillis - MAX_AGE_MILLIS, freshness.silentSinceMillis());
        own.prune(oldestMillis - 2 * TOLERANCE_MILLIS);
        boolean peerStarted = isRecent(peerLinkedMillis, nowMillis);
        boolean certain =
                !peerStarted && !isRecent(outdatedMillis, nowMillis) && isListCurrent(nowMillis);
        long currentMillis = freshness.currentUntilMillis(nowMillis);
        if (isRecent(outdatedMillis, nowMillis)) {
            currentMillis = Math.min(currentMillis, unconfirmedSinceMillis);
        }
        if (peerStarted) {
            long startedAgoMillis = VersionHistory.EFFECT_DELAY_MILLIS + TOLERANCE_MILLIS;
            currentMillis = Math.min(currentMillis, peerLinkedMillis - startedAgoMillis);
        }
        if (isChosenByRollout(service, nowMillis)) {
            own.record(listed, List.of(), nowMillis, currentMillis, certain);
            return own;
        }
        List<Upstream> admitted = versions.admitted(service, listed, false, nowMillis);
        // a version that an ended roll-out excludes gets no requests, though it is listed
        boolean rolloutEnded = versions.rollout(service).isPresent();
        own.record(rolloutEnded ? admitted : listed, admitted, nowMillis, currentMillis, certain);
        return own;
    }
}
