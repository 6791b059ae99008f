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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The versions at which streams began at this process, and at others that told it. */
final class BegunStreams {
    private static final int MAX_STREAMS = 20_000;
    private static final int MAX_OWN = 20_000;

    /** Maximum number of streams that are recorded for processes that start later. */
    static final int MAX_RECORDED = 2_000;

    /** Maximum number of streams that others were told of. */
    private static final int MAX_TOLD = 50_000;

    /** Age from which others are told once more of a stream that goes on, in milliseconds. */
    private static final long RENEWAL_MILLIS = StreamVersions.MAX_AGE_MILLIS / 2;

    /** Tells of a stream that its version does not follow from the plans, and may still change. */
    static final String NOT_FINAL = "";

    private final Map<Long, String> versions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_STREAMS;
                }
            };

    /** Streams that go on here, or did lately, by their hash. */
    private final Map<Long, Begun> own = new LinkedHashMap<>();

    /** Streams whose version does not follow from the plans, by their hash. */
    private final Map<Long, Told> told = new LinkedHashMap<>();

    /** Streams that are yet to be told. */
    private final Map<Long, String> news = new LinkedHashMap<>();

    /** Incremented whenever the streams to record change. */
    private long changes;

    /** When a stream was last forgotten that may still be resumed, in milliseconds. */
    private long forgottenMillis = Long.MIN_VALUE / 2;

    /**
     * A stream that was sent to an upstream by this process.
     *
     * @param began whether it has brought an event, so that its version is final
     * @param lastMillis when it last made progress, in milliseconds
     */
    record Begun(StreamCall call, String version, boolean began, long sentMillis, long lastMillis) {
        /** Returns the version that others are told; {@link #NOT_FINAL} before the first event. */
        String toldVersion() {
            return began ? version : NOT_FINAL;
        }
    }

    /**
     * A stream that others were told of.
     *
     * @param read whether it was read from the record, as by the others
     */
    private record Told(String version, long sinceMillis, boolean read) {}

    /** Records the upstream's version to which this process sends a stream. */
    void sent(StreamCall call, String version, long nowMillis) {
        long stream = StreamVersions.hash(call);
        own.remove(stream);
        own.put(stream, new Begun(call, version, false, nowMillis, nowMillis));
        if (own.size() > MAX_OWN) {
            own.remove(own.keySet().iterator().next());
            forgottenMillis = nowMillis;
        }
    }

    /** Records that a stream has brought its first event; returns whether it had none before. */
    boolean began(StreamCall call, String version, long nowMillis) {
        long stream = StreamVersions.hash(call);
        Begun before = own.get(stream);
        boolean first = before == null || !before.began();
        long sentMillis = before == null ? nowMillis : before.sentMillis();
        own.put(stream, new Begun(call, version, true, sentMillis, nowMillis));
        versions.put(stream, version);
        if (first && told.containsKey(stream)) {
            tell(stream, version, nowMillis);
        }
        return first;
    }

    /** Returns whether a stream's version does not follow from the plans, and is not known. */
    boolean isNotFinal(long stream) {
        Told known = told.get(stream);
        return known != null && known.version().equals(NOT_FINAL) && !versions.containsKey(stream);
    }

    Optional<String> version(long stream) {
        Told known = told.get(stream);
        return known == null || known.version().equals(NOT_FINAL)
                ? Optional.ofNullable(versions.get(stream))
                : Optional.of(known.version());
    }

    /** Returns the versions of the streams of this process, by their hash. */
    Map<Long, String> own() {
        Map<Long, String> latest = new HashMap<>();
        own.forEach(
                (stream, each) -> {
                    if (each.began()) {
                        latest.put(stream, each.version());
                    }
                });
        return latest;
    }

    /** Returns the streams of this process since a time, by the hash of their attempt alone. */
    List<StreamRecord> begunSince(long sinceMillis, long nowMillis) {
        List<StreamRecord> begun = new ArrayList<>();
        for (Begun each : own.values()) {
            if (each.began() && each.sentMillis() >= sinceMillis) {
                long attempt = VersionWeights.hash(each.call().attempt());
                begun.add(new StreamRecord(attempt, each.version(), nowMillis - each.sentMillis()));
            }
        }
        return begun;
    }

    /** Tells others of the streams of this process that pass a test. */
    void tell(Predicate<Begun> test, long nowMillis) {
        own.forEach(
                (stream, each) -> {
                    if (test.test(each) && !isTold(stream, each.toldVersion())) {
                        tell(stream, each.toldVersion(), nowMillis);
                    }
                });
    }

    private boolean isTold(long stream, String version) {
        Told before = told.get(stream);
        return before != null && before.version().equals(version);
    }

    /** Tells others of a stream, also if they were told before that it began elsewhere. */
    void tell(long stream, String version, long nowMillis) {
        news.put(stream, version);
        record(stream, version, nowMillis);
    }

    private void record(long stream, String version, long sinceMillis) {
        told.remove(stream);
        told.put(stream, new Told(version, sinceMillis, false));
        changes++;
        if (told.size() > MAX_TOLD) {
            told.remove(told.keySet().iterator().next());
            forgottenMillis = Math.max(forgottenMillis, sinceMillis);
        }
    }

    /**
     * Records a stream whose version does not follow from the plans.
     *
     * @return whether this process was not told of it before
     */
    boolean learned(StreamRecord stream, long nowMillis) {
        boolean isNew = !isTold(stream.attempt(), stream.version());
        if (stream.version().equals(NOT_FINAL)) {
            versions.remove(stream.attempt());
        } else {
            versions.put(stream.attempt(), stream.version());
        }
        record(stream.attempt(), stream.version(), nowMillis - stream.ageMillis());
        return isNew;
    }

    /** Records where a stream began according to a process that keeps it for this purpose. */
    void learned(long stream, String version) {
        versions.put(stream, version);
    }

    /**
     * Records streams that an earlier process recorded.
     *
     * @param leftMillis for how long they may be resumed; the longest time where it is not known
     */
    void recordedBefore(Map<Long, String> streams, Map<Long, Long> leftMillis, long nowMillis) {
        streams.forEach(
                (stream, version) -> {
                    long left = leftMillis.getOrDefault(stream, StreamVersions.MAX_AGE_MILLIS);
                    long sinceMillis = nowMillis - StreamVersions.MAX_AGE_MILLIS + left;
                    if (!version.equals(NOT_FINAL)) {
                        versions.putIfAbsent(stream, version);
                    }
                    told.putIfAbsent(stream, new Told(version, sinceMillis, true));
                    changes++;
                });
    }

    /** Returns for how long the streams that must be recorded may be resumed, by their hash. */
    Map<Long, Long> leftMillis(long nowMillis) {
        Map<Long, Long> left = new HashMap<>();
        told.forEach(
                (stream, each) ->
                        left.put(
                                stream,
                                each.sinceMillis() + StreamVersions.MAX_AGE_MILLIS - nowMillis));
        return left;
    }

    /** Returns the latest streams that must be recorded, by their hash. */
    Map<Long, String> toRecord() {
        Map<Long, String> latest = new HashMap<>();
        int skipped = Math.max(0, told.size() - MAX_RECORDED);
        for (Map.Entry<Long, Told> each : told.entrySet()) {
            if (skipped > 0) {
                skipped--;
            } else {
                latest.put(each.getKey(), each.getValue().version());
            }
        }
        return latest;
    }

    /** Returns how often the streams to record have changed. */
    long changes() {
        return changes;
    }

    /** Returns whether all streams are known that must be recorded, and none is left out. */
    boolean isRecordComplete(long nowMillis) {
        return told.size() <= MAX_RECORDED && !isAnyForgotten(nowMillis);
    }

    /** Returns whether streams were forgotten that may still be resumed. */
    boolean isAnyForgotten(long nowMillis) {
        return nowMillis - forgottenMillis <= StreamVersions.MAX_AGE_MILLIS;
    }

    /** Returns the streams that others were told of, for one that lacks them. */
    List<StreamRecord> told(long nowMillis) {
        List<StreamRecord> streams = new ArrayList<>(told.size());
        told.forEach(
                (stream, each) ->
                        streams.add(
                                new StreamRecord(
                                        stream,
                                        each.version(),
                                        Math.max(0, nowMillis - each.sinceMillis()))));
        return streams;
    }

    /** Returns the streams that are yet to be told, once. */
    List<StreamRecord> takeNews() {
        List<StreamRecord> streams = new ArrayList<>(news.size());
        news.forEach((stream, version) -> streams.add(new StreamRecord(stream, version, 0)));
        news.clear();
        return streams;
    }

    /** Forgets what is too old to be resumed, and tells once more what goes on. */
    void tick(long nowMillis) {
        own.values().removeIf(each -> isOld(each.lastMillis(), nowMillis));
        if (told.values().removeIf(each -> isOld(each.sinceMillis(), nowMillis))) {
            changes++;
        }
        own.forEach(
                (stream, each) -> {
                    Told before = told.get(stream);
                    if (before != null && nowMillis - before.sinceMillis() > RENEWAL_MILLIS) {
                        tell(stream, each.toldVersion(), nowMillis);
                    }
                });
    }

    private static boolean isOld(long millis, long nowMillis) {
        return nowMillis - millis > StreamVersions.MAX_AGE_MILLIS;
    }
}
