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

import static io.trailladder.adapter.GatewayRunner.onLoop;

import io.trailladder.adapter.PlatformStandIn;
import io.trailladder.entry.loop.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The upstreams of several versions, and releases in series: those of a new version come, and the
 * others say one after the other that they leave, serve on for a while and end.
 */
final class StreamReleases {
    private static final int UPSTREAMS = 3;
    private static final long LONGEST_GAP_MILLIS = 500;
    private static final long NEXT_COME_MILLIS = 200;
    private static final long SHORTEST_DRAIN_MILLIS = 2_000;
    private static final long LONGEST_DRAIN_MILLIS = 6_000;

    private final EventLoop loop;
    private final PlatformStandIn platform;
    private final SplittableRandom random;
    private final StreamObservations record;
    private final List<StreamUpstream> serving = new CopyOnWriteArrayList<>();
    private final List<StreamUpstream> ready = new ArrayList<>();
    private int versions;
    private int made;

    StreamReleases(
            EventLoop loop,
            PlatformStandIn platform,
            SplittableRandom random,
            StreamObservations record) {
        this.loop = loop;
        this.platform = platform;
        this.random = random;
        this.record = record;
    }

    /** Returns how many upstreams of a version serve, leaving ones among them. */
    int serving(String version) {
        return (int)
                serving.stream().filter(upstream -> upstream.version().equals(version)).count();
    }

    /** Begins the release of a new version; returns its name. */
    String release() throws Exception {
        return onLoop(loop, this::releaseOnLoop);
    }

    /** Has a new version come beside the others, which serve on; returns its name. */
    String add() throws Exception {
        return onLoop(
                loop,
                () -> {
                    String version = nextVersion();
                    comeAll(version);
                    return version;
                });
    }

    private String nextVersion() {
        return "v" + versions++;
    }

    /** Has the upstreams of a version come; returns when the last one has, in milliseconds. */
    private long comeAll(String version) {
        long millis = 0;
        for (int i = 0; i < UPSTREAMS; i++) {
            loop.schedule(millis, () -> come(version));
            millis += random.nextLong(1, NEXT_COME_MILLIS);
        }
        return millis;
    }

    private String releaseOnLoop() {
        String version = nextVersion();
        List<StreamUpstream> old = List.copyOf(ready);
        long millis = comeAll(version);
        for (StreamUpstream upstream : old) {
            millis += random.nextLong(1, LONGEST_GAP_MILLIS);
            loop.schedule(millis, () -> leave(upstream));
        }
        return version;
    }

    private void come(String version) {
        try {
            StreamUpstream upstream =
                    new StreamUpstream(loop, "u" + made++, version, random.split(), record);
            ready.add(upstream);
            serving.add(upstream);
            platform.put("servers/" + upstream.id(), upstream.entry("ready"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void leave(StreamUpstream upstream) {
        if (ready.remove(upstream)) {
            platform.put("servers/" + upstream.id(), upstream.entry("draining"));
            long drainMillis = random.nextLong(SHORTEST_DRAIN_MILLIS, LONGEST_DRAIN_MILLIS);
            loop.schedule(drainMillis, () -> end(upstream));
        }
    }

    private void end(StreamUpstream upstream) {
        serving.remove(upstream);
        platform.remove("servers/" + upstream.id());
        close(upstream);
    }

    /** Ends all upstreams. */
    void close() {
        serving.forEach(StreamReleases::close);
    }

    private static void close(StreamUpstream upstream) {
        try {
            upstream.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
