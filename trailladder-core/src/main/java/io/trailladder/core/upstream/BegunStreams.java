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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The versions at which streams began at this process, and at others that told it. */
final class BegunStreams {
    private static final int MAX_STREAMS = 20_000;

    /** How long the start of a stream is told and passed on, in milliseconds: several digests. */
    private static final long NEWS_MILLIS = 800;

    /**
     * How long it is checked whether a stream of this process must be told, in milliseconds. A
     * change that is noticed later does not take effect on it.
     */
    private static final long CHECKED_MILLIS = 3_000;

    /** Age from which a stream of this process is no longer resumed, in milliseconds. */
    private static final long MAX_OWN_AGE_MILLIS = 15_000;

    private static final int MAX_OWN = 5_000;

    /** Maximum number of streams that are recorded for processes that start later. */
    static final int MAX_RECORDED = 250;

    private final Map<Long, String> versions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_STREAMS;
                }
            };
    private final Deque<Begun> own = new ArrayDeque<>();

    /** Streams that began while other processes, which may not be told, may have a newer list. */
    private final Deque<Begun> outdated = new ArrayDeque<>();

    private final Deque<News> news = new ArrayDeque<>();
    private final Deque<News> told = new ArrayDeque<>();

    /**
     * A stream that began at this process.
     *
     * @param firstCallMillis when its caller first called, in milliseconds
     * @param beganMillis when its first event was forwarded, in milliseconds
     * @param listCurrent false if other processes may have had a newer list of upstreams then
     */
    record Begun(
            String service,
            String attempt,
            String version,
            long firstCallMillis,
            long beganMillis,
            boolean listCurrent) {}

    /** A stream that is told to others, and since when. */
    private record News(long attempt, String version, long sinceMillis) {}

    void add(Begun stream) {
        versions.put(VersionWeights.hash(stream.attempt()), stream.version());
        own.addLast(stream);
        if (own.size() > MAX_OWN) {
            own.removeFirst();
        }
        if (!stream.listCurrent()) {
            outdated.addLast(stream);
            if (outdated.size() > MAX_RECORDED) {
                outdated.removeFirst();
            }
        }
    }

    Optional<String> version(String attempt) {
        return Optional.ofNullable(versions.get(VersionWeights.hash(attempt)));
    }

    /** Begins to tell others of the streams that pass a test, each once. */
    void tell(Predicate<Begun> test, long nowMillis) {
        while (!own.isEmpty() && nowMillis - own.getFirst().beganMillis() > CHECKED_MILLIS) {
            own.removeFirst();
        }
        for (Iterator<Begun> each = own.iterator(); each.hasNext(); ) {
            Begun stream = each.next();
            if (test.test(stream)) {
                long attempt = VersionWeights.hash(stream.attempt());
                tellOthers(attempt, stream.version(), nowMillis);
                each.remove();
            }
        }
    }

    /** Tells others once more of the streams that began while the list may have been outdated. */
    void tellOutdated(long nowMillis) {
        for (Begun stream : outdated) {
            if (nowMillis - stream.beganMillis() <= MAX_OWN_AGE_MILLIS) {
                tellOthers(VersionWeights.hash(stream.attempt()), stream.version(), nowMillis);
            }
        }
        outdated.clear();
    }

    void learned(StreamRecord stream, long nowMillis) {
        if (versions.putIfAbsent(stream.attempt(), stream.version()) == null) {
            tellOthers(stream.attempt(), stream.version(), nowMillis - stream.ageMillis());
        }
    }

    private void tellOthers(long attempt, String version, long sinceMillis) {
        news.addLast(new News(attempt, version, sinceMillis));
        told.addLast(new News(attempt, version, sinceMillis));
        if (told.size() > MAX_RECORDED) {
            told.removeFirst();
        }
    }

    /** Returns the latest streams that were told, by the hash of their attempts' ids. */
    Map<Long, String> told(long nowMillis) {
        told.removeIf(each -> nowMillis - each.sinceMillis() > StreamVersions.MAX_AGE_MILLIS);
        Map<Long, String> latest = new HashMap<>();
        told.forEach(each -> latest.put(each.attempt(), each.version()));
        return latest;
    }

    /** Records streams that an earlier process was told of. */
    void recordedBefore(Map<Long, String> streams, long nowMillis) {
        streams.forEach(
                (attempt, version) -> {
                    if (versions.putIfAbsent(attempt, version) == null) {
                        told.addFirst(new News(attempt, version, nowMillis));
                    }
                });
    }

    List<StreamRecord> news(long nowMillis) {
        news.removeIf(each -> nowMillis - each.sinceMillis() > NEWS_MILLIS);
        List<StreamRecord> told = new ArrayList<>(news.size());
        for (News each : news) {
            long ageMillis = nowMillis - each.sinceMillis();
            told.add(new StreamRecord(each.attempt(), each.version(), ageMillis));
        }
        return told;
    }
}
