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

    /** Age from which a stream of this process is no longer resumed, in milliseconds. */
    private static final long MAX_OWN_AGE_MILLIS = 15_000;

    private static final int MAX_OWN = 5_000;

    private final Map<Long, String> versions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_STREAMS;
                }
            };
    private final Deque<Begun> own = new ArrayDeque<>();
    private final Deque<News> news = new ArrayDeque<>();

    /** A stream that began at this process. */
    record Begun(String service, String attempt, String version, long beganMillis) {}

    /** A stream that is told to others, and since when. */
    private record News(long attempt, String version, long sinceMillis) {}

    void add(String service, String attempt, String version, long nowMillis) {
        versions.put(VersionWeights.hash(attempt), version);
        own.addLast(new Begun(service, attempt, version, nowMillis));
        if (own.size() > MAX_OWN) {
            own.removeFirst();
        }
    }

    Optional<String> version(String attempt) {
        return Optional.ofNullable(versions.get(VersionWeights.hash(attempt)));
    }

    /** Begins to tell others of the streams that pass a test, each once. */
    void tell(Predicate<Begun> test, long nowMillis) {
        while (!own.isEmpty() && nowMillis - own.getFirst().beganMillis() > MAX_OWN_AGE_MILLIS) {
            own.removeFirst();
        }
        for (Iterator<Begun> each = own.iterator(); each.hasNext(); ) {
            Begun stream = each.next();
            if (test.test(stream)) {
                news.addLast(
                        new News(
                                VersionWeights.hash(stream.attempt()),
                                stream.version(),
                                nowMillis));
                each.remove();
            }
        }
    }

    void learned(StreamRecord stream, long nowMillis) {
        if (versions.putIfAbsent(stream.attempt(), stream.version()) == null) {
            long sinceMillis = nowMillis - stream.ageMillis();
            news.addLast(new News(stream.attempt(), stream.version(), sinceMillis));
        }
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
