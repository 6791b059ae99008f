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
 * to them.
 *
 * <p>An upstream that cannot be reached from here but through a peer has not failed; the path to it
 * has. If this holds for several upstreams and none is reached, the process is isolated: it serves
 * its callers through peers only.
 *
 * <pre>{@code
 * PathMonitor paths = new PathMonitor(change -> {});
 * paths.failed("u1", 1_000);
 * paths.failed("u2", 1_050);
 * paths.state(); // FAILING
 * paths.openedThroughPeer("u1", 1_060);
 * paths.openedThroughPeer("u2", 1_070);
 * paths.state(); // ISOLATED
 * paths.opened("u2", 5_000);
 * paths.state(); // DIRECT
 * }</pre>
 *
 * @since 0.7
 */
public final class PathMonitor {
    /** Number of upstreams that must fail, with none reached in between, to be suspicious. */
    static final int MIN_UPSTREAMS = 2;

    /**
     * How long an upstream that a peer did not reach either is not tried through peers, in
     * milliseconds.
     */
    static final long RELAY_PAUSE_MILLIS = 1_000;

    /**
     * How long no peer is asked after none reached any upstream, in milliseconds: the upstreams
     * themselves are gone, or all processes are cut off.
     */
    static final long ALL_RELAYS_PAUSE_MILLIS = 500;

    /**
     * Time since a peer last reached an upstream, in which peers are not given up, in milliseconds.
     */
    static final long RELAY_MEMORY_MILLIS = 1_000;

    /**
     * How long isolation is assumed after it was last observed, in milliseconds. A process without
     * requests does not notice that its path is back.
     */
    static final long ISOLATION_MEMORY_MILLIS = 2_000;

    /** Maximum number of upstreams that are remembered. */
    private static final int MAX_REMEMBERED = 4_096;

    private final Consumer<Change> onChange;

    /** Upstreams reached through a peer, since a connection from here last opened. */
    private final Map<String, Long> indirect = new RecentMap<>(MAX_REMEMBERED);

    /** Until when upstreams that no peer reaches are not tried through peers. */
    private final Map<String, Long> relayPausedUntil = new RecentMap<>(MAX_REMEMBERED);

    /** Upstreams to which connections failed since a connection to any upstream last opened. */
    private final Set<String> failedSinceOpened = new HashSet<>();

    /** Those of them that peers reached. */
    private final Set<String> indirectSinceOpened = new HashSet<>();

    private State state = State.DIRECT;
    private long firstFailedMillis;
    private long lastFailedMillis;
    private long lastRelayedMillis = Long.MIN_VALUE / 2;
    private long allRelaysPausedUntilMillis = Long.MIN_VALUE;

    /** What is known of the paths from this process to the upstreams. */
    public enum State {
        /** Connections open, or fail to at most one upstream. */
        DIRECT,
        /** Connections to several upstreams failed, and none has opened since. */
        FAILING,
        /** Peers reach several of these upstreams: this process has lost its own path. */
        ISOLATED
    }

    /**
     * A change of the state.
     *
     * @param state the new state
     * @param failed number of upstreams to which connections failed, with none opened in between
     * @param throughPeers number of these that peers reached
     * @param sinceMillis time since the first of these failures, in milliseconds
     */
    public record Change(State state, int failed, int throughPeers, long sinceMillis) {}

    /**
     * Creates a monitor that knows of no failure.
     *
     * @param onChange called with each change of the state
     */
    public PathMonitor(Consumer<Change> onChange) {
        this.onChange = onChange;
    }

    /**
     * Records that a connection from this process to an upstream could not be opened, or not in the
     * time that it usually takes.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void failed(String upstream, long nowMillis) {
        if (failedSinceOpened.isEmpty()) {
            firstFailedMillis = nowMillis;
        }
        lastFailedMillis = nowMillis;
        failedSinceOpened.add(upstream);
        if (state == State.DIRECT && failedSinceOpened.size() >= MIN_UPSTREAMS) {
            change(State.FAILING, nowMillis);
        }
    }

    /**
     * Records that a connection from this process to an upstream was opened.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void opened(String upstream, long nowMillis) {
        relayPausedUntil.remove(upstream);
        indirect.remove(upstream);
        if (state == State.ISOLATED) {
            // the paths were lost together, so the others are back too
            indirect.clear();
        }
        if (!failedSinceOpened.isEmpty()) {
            change(State.DIRECT, nowMillis);
            failedSinceOpened.clear();
            indirectSinceOpened.clear();
        }
    }

    /**
     * Records that a peer connected this process to an upstream while a connection from here failed
     * or was not yet open.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void openedThroughPeer(String upstream, long nowMillis) {
        relayPausedUntil.remove(upstream);
        lastRelayedMillis = nowMillis;
        failed(upstream, nowMillis);
        indirect.put(upstream, nowMillis);
        indirectSinceOpened.add(upstream);
        if (indirectSinceOpened.size() >= MIN_UPSTREAMS) {
            change(State.ISOLATED, nowMillis);
        }
    }

    /**
     * Records that a peer did not reach an upstream that could not be reached from here either.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     */
    public void failedThroughPeer(String upstream, long nowMillis) {
        indirect.remove(upstream);
        relayPausedUntil.put(upstream, nowMillis + RELAY_PAUSE_MILLIS);
    }

    /**
     * Records that no peer that was asked reaches any upstream.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void noPeerReaches(long nowMillis) {
        if (nowMillis - lastRelayedMillis > RELAY_MEMORY_MILLIS) {
            allRelaysPausedUntilMillis = nowMillis + ALL_RELAYS_PAUSE_MILLIS;
        }
    }

    /**
     * Returns whether peers are to be asked at once for a connection to an upstream, because one
     * from here is unlikely to open.
     *
     * @param upstream the upstream's name
     * @return true if the upstream was last reached through a peer, or this process is isolated
     */
    public boolean prefersRelay(String upstream) {
        return state == State.ISOLATED || indirect.containsKey(upstream);
    }

    /**
     * Returns whether peers may be asked for a connection to an upstream.
     *
     * @param upstream the upstream's name
     * @param nowMillis the current time, in milliseconds
     * @return false shortly after a peer did not reach it, or no peer reached any upstream
     */
    public boolean mayRelay(String upstream, long nowMillis) {
        Long until = relayPausedUntil.get(upstream);
        return nowMillis >= allRelaysPausedUntilMillis && (until == null || nowMillis >= until);
    }

    /**
     * Returns whether this process is known to reach no upstream.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true if it was observed to be isolated in the last {@value #ISOLATION_MEMORY_MILLIS}
     *     ms
     */
    public boolean isIsolated(long nowMillis) {
        return state == State.ISOLATED && nowMillis - lastFailedMillis <= ISOLATION_MEMORY_MILLIS;
    }

    /**
     * Returns what is known of the paths to the upstreams.
     *
     * @return the state
     */
    public State state() {
        return state;
    }

    private void change(State next, long nowMillis) {
        if (next != state) {
            state = next;
            onChange.accept(
                    new Change(
                            next,
                            failedSinceOpened.size(),
                            indirectSinceOpened.size(),
                            nowMillis - firstFailedMillis));
        }
    }
}
