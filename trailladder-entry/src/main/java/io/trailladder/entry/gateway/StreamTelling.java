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
package io.trailladder.entry.gateway;

import io.trailladder.core.upstream.StreamCall;
import io.trailladder.core.upstream.StreamRecord;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.wire.NodeMessage.StreamNews;
import io.trailladder.wire.NodeMessage.StreamNews.Kind;
import io.trailladder.wire.NodeMessage.StreamSent;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Tells peers at which versions streams begin: some of them each stream, so that it is known if
 * this process ends, and all of them those whose versions do not follow from the plans.
 *
 * <p>What all must know is sent over each link before this process states the plan that it uses. A
 * peer whose link has just been opened has to be told all of it before its statements, and those of
 * this process to it, count.
 */
final class StreamTelling {
    /** How long a leaf collects streams of services with one version, in milliseconds. */
    private static final long COPY_DELAY_MILLIS = 50;

    /** Number of peers that keep a copy of what is known of a stream. */
    private static final int COPIES = 2;

    /** Maximum number of streams in one message. */
    private static final int MAX_STREAMS = 2_000;

    private final LongSupplier nowMillis;
    private final StartupRequestQueue.Timer timer;
    private final StreamVersions streams;
    private final StreamPeers peers;
    private final List<StreamSent> copies = new ArrayList<>();

    /** Peers that have told all that must be known to count their statements. */
    private final Set<String> introduced = new HashSet<>();

    /**
     * Creates an instance.
     *
     * @param nowMillis the current time, in milliseconds
     * @param timer schedules tasks on the thread of this process
     * @param streams the versions of streams
     * @param peers the peers
     */
    StreamTelling(
            LongSupplier nowMillis,
            StartupRequestQueue.Timer timer,
            StreamVersions streams,
            StreamPeers peers) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.streams = streams;
        this.peers = peers;
    }

    /**
     * Tells peers that a stream has brought its first event.
     *
     * @param call the request of the caller
     * @param version the version of the upstream that sent it
     */
    void began(StreamCall call, String version) {
        tellAll();
        copies.add(new StreamSent(StreamVersions.hash(call), version, 0));
        if (peers.isHub() || streams.hasSeveralVersions(call.service())) {
            sendCopies();
        } else if (copies.size() == 1) {
            timer.schedule(COPY_DELAY_MILLIS, this::sendCopies);
        }
    }

    private void sendCopies() {
        if (!copies.isEmpty()) {
            List<StreamSent> sent = List.copyOf(copies);
            copies.clear();
            peers.send(keepers(sent.get(0).stream()), new StreamNews(Kind.COPY, sent));
        }
    }

    /** Returns the peers that keep copies: a leaf's hub, else some chosen by a stream's hash. */
    private List<String> keepers(long stream) {
        return peers.asked().stream()
                .sorted(Comparator.comparingLong(peer -> mixed(stream, peer)))
                .limit(COPIES)
                .toList();
    }

    private static long mixed(long stream, String peer) {
        return StreamVersions.hash(new StreamCall(peer, Long.toString(stream)));
    }

    /** Tells all peers of the streams that they must know; before each statement of a plan. */
    void tellAll() {
        List<StreamRecord> news = streams.takeNews();
        if (!news.isEmpty()) {
            send(peers.told(), Kind.UNPLANNED, news);
        }
    }

    private void send(List<String> receivers, Kind kind, List<StreamRecord> told) {
        int from = 0;
        do {
            int to = Math.min(told.size(), from + MAX_STREAMS);
            // only the last message of a series completes an introduction
            Kind part = to < told.size() ? Kind.UNPLANNED : kind;
            peers.send(receivers, new StreamNews(part, sentOf(told.subList(from, to))));
            from = to;
        } while (from < told.size());
    }

    private static List<StreamSent> sentOf(List<StreamRecord> told) {
        return told.stream()
                .map(each -> new StreamSent(each.attempt(), each.version(), each.ageMillis()))
                .toList();
    }

    /** Tells a peer that can be told from now on all that it must know. */
    void introduce(String peer) {
        if (peers.asked().contains(peer) && !peers.isHub()) {
            List<StreamSent> own = new ArrayList<>();
            streams.own().forEach((stream, version) -> own.add(new StreamSent(stream, version, 0)));
            peers.send(List.of(peer), new StreamNews(Kind.COPY, own));
        }
        tellAll();
        send(List.of(peer), Kind.ALL_UNPLANNED, streams.told(nowMillis.getAsLong()));
    }

    /** Returns whether all processes are linked, so that each one speaks for itself alone. */
    boolean isFullMesh() {
        return peers.isFullMesh();
    }

    /** Returns whether a peer has told all that must be known to count its statements. */
    boolean isIntroduced(String peer) {
        return introduced.contains(peer);
    }

    /** Records that the link to a peer is new, or lost. */
    void linkChanged(String peer) {
        introduced.remove(peer);
    }

    /** Handles what a peer tells. */
    void received(String peer, StreamNews news) {
        if (news.kind() == Kind.COPY) {
            news.streams().forEach(each -> streams.learned(each.stream(), each.version()));
            return;
        }
        List<StreamRecord> unknown = new ArrayList<>();
        for (StreamSent each : news.streams()) {
            long ageMillis = Math.max(0, each.ageMillis());
            StreamRecord stream = new StreamRecord(each.stream(), each.version(), ageMillis);
            if (streams.learned(stream, nowMillis.getAsLong())) {
                unknown.add(stream);
            }
        }
        List<String> receivers = peers.passedOnTo(peer);
        if (!unknown.isEmpty() && !receivers.isEmpty()) {
            send(receivers, Kind.UNPLANNED, unknown);
        }
        if (news.kind() == Kind.ALL_UNPLANNED && !introduced.add(peer)) {
            // the peer has lost what it was told
            introduce(peer);
        }
    }
}
