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

import io.trailladder.core.RecentMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Tells whether connections to single upstreams fail, or whether this process has lost its own path
 * to all of them.
 *
 * <pre>{@code
 * PathMonitor paths = new PathMonitor(change -> {});
 * paths.failed("u1", 1_000);
 * paths.failed("u2", 1_050);
 * paths.state(); // FAILING
 * paths.opened("u2", 1_100);
 * paths.state(); // DIRECT
 * }</pre>
 *
 * @since 0.7
 */
public final class PathMonitor {
    /** Number of upstreams that must fail, with none reached in between, to be suspicious. */
    static final int MIN_FAILED_UPSTREAMS = 2;

    /** Maximum number of upstreams whose last failure is remembered. */
    private static final int MAX_REMEMBERED = 4_096;

    private final Consumer<Change> onChange;

    /** When connections to an upstream began to fail, since one to it last opened. */
    private final Map<String, Long> failingSince = new RecentMap<>(MAX_REMEMBERED);

    /** Upstreams to which a connection failed since a connection to any upstream last opened. */
    private final Set<String> failedSinceOpened = new HashSet<>();

    private State state = State.DIRECT;
    private long firstFailedMillis;

    /** What is known of the paths from this process to the upstreams. */
    public enum State {
        /** Connections open, or at most to one upstream they fail. */
        DIRECT,
        /** Connections to several upstreams failed, and none has opened since. */
        FAILING
    }

    /**
     * A change of the state.
     *
     * @param state the new state
     * @param failed number of upstreams to which connections failed, with none opened in between
     * @param sinceMillis time since the first of these failures, in milliseconds
     */
    public record Change(State state, int failed, long sinceMillis) {}

    /**
     * Creates a monitor that knows of no failure.
     *
     * @param onChange called with each change of the state
     */
    public PathMonitor(Consumer<Change> onChange) {
        this.onChange = onChange;
    }

    /**
     * Records that no connection to an upstream could be opened from this process.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void failed(String upstream, long nowMillis) {
        failingSince.putIfAbsent(upstream, nowMillis);
        if (failedSinceOpened.isEmpty()) {
            firstFailedMillis = nowMillis;
        }
        failedSinceOpened.add(upstream);
        update(nowMillis);
    }

    /**
     * Records that a connection from this process to an upstream was opened.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void opened(String upstream, long nowMillis) {
        failingSince.remove(upstream);
        if (!failedSinceOpened.isEmpty()) {
            int failed = failedSinceOpened.size();
            failedSinceOpened.clear();
            change(State.DIRECT, failed, nowMillis);
        }
    }

    /**
     * Returns what is known of the paths to the upstreams.
     *
     * @return the state
     */
    public State state() {
        return state;
    }

    private void update(long nowMillis) {
        int failed = failedSinceOpened.size();
        if (failed >= MIN_FAILED_UPSTREAMS) {
            change(State.FAILING, failed, nowMillis);
        }
    }

    private void change(State next, int failed, long nowMillis) {
        if (next != state) {
            state = next;
            onChange.accept(new Change(next, failed, nowMillis - firstFailedMillis));
        }
    }
}
