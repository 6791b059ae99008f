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

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** What callers and upstreams saw of streams, and whether it keeps the promises. */
final class StreamObservations {
    /** Streams counted at least before shares are compared. */
    private static final int LEAST_COUNTED = 12;

    /** Part of the share of other streams that must be reached. */
    private static final double LEAST_SHARE = 0.5;

    /** Streams that began. */
    final Share begun = new Share();

    /** Streams that went on after their callers resumed them. */
    final Share resumed = new Share();

    /** Those of them that began before all gateways were down. */
    final Share resumedAfterLoss = new Share();

    /**
     * Streams that were whole, or as long as their caller wanted, in one answer though an upstream
     * sent bytes without end.
     */
    final Share wholeAfterBytes = new Share();

    /** The same of the other streams. */
    final Share whole = new Share();

    private final Queue<String> joined = new ConcurrentLinkedQueue<>();
    private final Queue<String> repeated = new ConcurrentLinkedQueue<>();
    private final Queue<String> missing = new ConcurrentLinkedQueue<>();
    private final Queue<String> others = new ConcurrentLinkedQueue<>();
    private final Map<String, List<String>> wronglyResumed = new ConcurrentHashMap<>();
    private final Map<String, List<String>> withoutEnd = new ConcurrentHashMap<>();

    /** How many of some streams did what is counted. */
    static final class Share {
        private int all;
        private int counted;

        synchronized void add(boolean counts) {
            all++;
            counted += counts ? 1 : 0;
        }

        synchronized int all() {
            return all;
        }

        /** Returns whether less than half of the share of others is reached. */
        synchronized boolean isLess(Share others) {
            return all >= LEAST_COUNTED
                    && (double) counted / all < LEAST_SHARE * others.counted / others.all;
        }

        @Override
        public synchronized String toString() {
            return counted + " of " + all;
        }
    }

    /** Records that an upstream resumes the stream of a request at a wrong event. */
    void resumesWrongly(String hash, String how) {
        wronglyResumed.computeIfAbsent(hash, request -> new CopyOnWriteArrayList<>()).add(how);
    }

    /** Records that an upstream sends bytes without end in its answer to a request. */
    void sendsWithoutEnd(String hash, String how) {
        withoutEnd.computeIfAbsent(hash, request -> new CopyOnWriteArrayList<>()).add(how);
    }

    boolean metBytesWithoutEnd(String hash) {
        return withoutEnd.containsKey(hash);
    }

    /** Records a stream that holds events of two versions. */
    void joined(String what) {
        joined.add(what);
    }

    /** Records an event that is not the next one of its stream. */
    void misplaced(String hash, int id, int last, String what) {
        (id > last ? missing : repeated)
                .add(
                        what
                                + " has event "
                                + id
                                + " after "
                                + last
                                + ", its upstreams resumed wrongly: "
                                + wronglyResumed.getOrDefault(hash, List.of()));
    }

    /** Records what breaks another promise. */
    void violation(String what) {
        others.add(what);
    }

    /** Returns the streams that hold events of two versions, if they are more than are allowed. */
    List<String> joinedStreams() {
        return joined.size() > StreamCheck.MAX_JOINED ? List.copyOf(joined) : List.of();
    }

    /** Returns the events that came twice. */
    List<String> repeatedEvents() {
        return List.copyOf(repeated);
    }

    /** Returns the events that followed missing ones. */
    List<String> eventsAfterMissing() {
        return List.copyOf(missing);
    }

    /** Returns the shares of resumed streams that are too small beside that of new ones. */
    List<String> lostStreams() {
        return Stream.of(resumed, resumedAfterLoss)
                .filter(share -> share.isLess(begun))
                .map(share -> "resumed streams that went on: " + share + ", new ones: " + begun)
                .toList();
    }

    /** Returns the share of streams that met bytes without end, if too few of them were whole. */
    List<String> streamsLostToBytes() {
        return wholeAfterBytes.isLess(whole)
                ? List.of(
                        "whole after bytes without end: " + wholeAfterBytes + ", others: " + whole)
                : List.of();
    }

    /** Returns what breaks any other promise. */
    List<String> otherViolations() {
        return List.copyOf(others);
    }

    /** Returns all that breaks a promise. */
    List<String> violations() {
        return Stream.of(
                        joinedStreams(),
                        lostStreams(),
                        streamsLostToBytes(),
                        otherViolations(),
                        repeatedEvents(),
                        eventsAfterMissing())
                .flatMap(List::stream)
                .toList();
    }

    @Override
    public String toString() {
        return "begun "
                + begun
                + ", resumed "
                + resumed
                + ", after a loss of all "
                + resumedAfterLoss
                + ", joined "
                + joined.size()
                + ", wrongly resumed "
                + wronglyResumed.size()
                + ", repeated "
                + repeated.size()
                + ", missing "
                + missing.size()
                + ", whole "
                + whole
                + ", after bytes without end "
                + wholeAfterBytes;
    }
}
