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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The versions at which streams began at this process, and at others that told it. */
final class BegunStreams {
    private static final int MAX_STREAMS = 20_000;
    private static final int MAX_OWN = 5_000;

    /** Maximum number of streams that are told in one digest. */
    static final int MAX_TOLD = 250;

    /** Maximum number of streams that wait to be told. */
    private static final int MAX_NEWS = 4 * MAX_TOLD;

    /** Maximum number of streams that are recorded for processes that start later. */
    static final int MAX_RECORDED = 1_000;

    /** Number of ticks for which a stream is told: each peer is sent a digest between two. */
    private static final int TOLD_TICKS = 3;

    private final Map<Long, String> versions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_STREAMS;
                }
            };

    /** Streams that began here lately, by the id of their attempt. */
    private final Map<String, Begun> own = new LinkedHashMap<>();

    /** Streams that are told to others, the oldest first. */
    private final Map<Long, News> news = new LinkedHashMap<>();

    /** Streams that must be recorded, by the hash of their attempt. */
    private final Map<Long, Told> told = new LinkedHashMap<>();

    private long tick;

    /** When a stream was last left out of the record because there were too many. */
    private long unrecordedMillis = Long.MIN_VALUE / 2;

    /** When a stream was last not told because there were too many. */
    private long untoldMillis = Long.MIN_VALUE / 2;

    /** A stream that began at this process. */
    record Begun(StreamCall call, String version, long sentMillis) {}

    /** A stream that is told to others. */
    private static final class News {
        private final StreamRecord stream;
        private final long sinceMillis;
        private long untilTick = Long.MAX_VALUE;

        News(StreamRecord stream, long sinceMillis) {
            this.stream = stream;
            this.sinceMillis = sinceMillis;
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
        versions.put(VersionWeights.hash(call.attempt()), version);
        own.remove(call.attempt());
        own.put(call.attempt(), new Begun(call, version, nowMillis));
        if (own.size() > MAX_OWN) {
            own.remove(own.keySet().iterator().next());
        }
    }

    Optional<String> version(String attempt) {
        return attempt.isEmpty() ? Optional.empty() : version(VersionWeights.hash(attempt));
    }

    Optional<String> version(long attempt) {
        return Optional.ofNullable(versions.get(attempt));
    }

    /** Returns the versions of the streams that began here lately, by the hash of their attempt. */
    Map<Long, String> own() {
        Map<Long, String> latest = new HashMap<>();
        own.forEach((attempt, each) -> latest.put(VersionWeights.hash(attempt), each.version()));
        return latest;
    }

    /** Tells others of the streams that began here and pass a test. */
    void tell(Predicate<Begun> test, long nowMillis) {
        own.values()
                .removeIf(each -> nowMillis - each.sentMillis() > StreamVersions.MAX_AGE_MILLIS);
        own.values().stream()
                .filter(each -> test.test(each) && !isTold(each))
                .forEach(each -> tell(each.call().attempt(), each.version(), nowMillis));
    }

    private boolean isTold(Begun stream) {
        Told before = told.get(VersionWeights.hash(stream.call().attempt()));
        return before != null && before.version().equals(stream.version());
    }

    /** Tells others of a stream, also if they were told before that it began elsewhere. */
    void tell(String attempt, String version, long nowMillis) {
        tell(new StreamRecord(VersionWeights.hash(attempt), version, 0), nowMillis);
    }

    private void tell(StreamRecord stream, long nowMillis) {
        long sinceMillis = nowMillis - stream.ageMillis();
        news.remove(stream.attempt());
        news.put(stream.attempt(), new News(stream, sinceMillis));
        if (news.size() > MAX_NEWS) {
            news.remove(news.keySet().iterator().next());
            untoldMillis = nowMillis;
        }
        record(stream, sinceMillis);
    }

    private void record(StreamRecord stream, long sinceMillis) {
        told.remove(stream.attempt());
        told.put(stream.attempt(), new Told(stream.version(), sinceMillis, false));
    }

    /** Records where a stream began at another process. */
    void learned(StreamRecord stream, boolean passOn, long nowMillis) {
        String before = versions.put(stream.attempt(), stream.version());
        if (passOn && !stream.version().equals(before)) {
            tell(stream, nowMillis);
        } else {
            record(stream, nowMillis - stream.ageMillis());
        }
    }

    /** Records a stream of which another process was asked. */
    void learned(long attempt, String version) {
        versions.put(attempt, version);
    }

    /** Records streams that an earlier process recorded. */
    void recordedBefore(Map<Long, String> streams, long nowMillis) {
        streams.forEach(
                (attempt, version) -> {
                    if (versions.putIfAbsent(attempt, version) == null) {
                        told.putIfAbsent(attempt, new Told(version, nowMillis, true));
                    }
                });
    }

    /** Returns the streams that must be recorded, by the hash of their attempts' ids. */
    Map<Long, String> told(long nowMillis) {
        told.values()
                .removeIf(each -> nowMillis - each.sinceMillis() > StreamVersions.MAX_AGE_MILLIS);
        while (told.size() > MAX_RECORDED) {
            told.remove(told.keySet().iterator().next());
            unrecordedMillis = nowMillis;
        }
        Map<Long, String> latest = new HashMap<>();
        told.forEach((attempt, each) -> latest.put(attempt, each.version()));
        return latest;
    }

    /** Returns whether all streams are recorded that were told and may still be resumed. */
    boolean isRecordComplete(long nowMillis) {
        return nowMillis - unrecordedMillis > StreamVersions.MAX_AGE_MILLIS;
    }

    /** Tells all streams once more that must be recorded: a peer may lack them. */
    void tellAgain() {
        told.forEach(
                (attempt, each) -> {
                    if (!each.read()) {
                        StreamRecord stream = new StreamRecord(attempt, each.version(), 0);
                        news.putIfAbsent(attempt, new News(stream, each.sinceMillis()));
                    }
                });
    }

    /** To be called after a digest has been sent to every peer. */
    void tick() {
        tick++;
        news.values().removeIf(each -> each.untilTick < tick);
    }

    /** Returns whether the next digest tells all streams that have not been told yet. */
    boolean isNewsComplete() {
        return news.size() <= MAX_TOLD;
    }

    /** Returns whether all streams were told, or will be, that may still be resumed. */
    boolean isEachTold(long nowMillis) {
        return nowMillis - untoldMillis > StreamVersions.MAX_AGE_MILLIS;
    }

    /** Returns the streams to tell now, those first that were not told yet. */
    List<StreamRecord> news(long nowMillis) {
        Deque<News> next = new ArrayDeque<>();
        for (News each : news.values()) {
            if (each.untilTick == Long.MAX_VALUE) {
                next.addLast(each);
            }
        }
        for (News each : news.values()) {
            if (each.untilTick != Long.MAX_VALUE) {
                next.addLast(each);
            }
        }
        List<StreamRecord> told = new ArrayList<>();
        while (!next.isEmpty() && told.size() < MAX_TOLD) {
            News each = next.removeFirst();
            if (each.untilTick == Long.MAX_VALUE) {
                each.untilTick = tick + TOLD_TICKS;
            }
            long ageMillis = nowMillis - each.sinceMillis;
            told.add(new StreamRecord(each.stream.attempt(), each.stream.version(), ageMillis));
        }
        return told;
    }
}
