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
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamRecord;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.StreamNews;
import io.trailladder.wire.NodeMessage.StreamQuery;
import io.trailladder.wire.NodeMessage.StreamReply;
import io.trailladder.wire.NodeMessage.StreamSent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Asks peers at which versions streams began that callers resume, and tells some where new ones
 * begin, so that it is known if this process ends.
 *
 * <p>In a full mesh every process is asked. A leaf tells all its streams to its hub, and asks it;
 * the hub asks the other hubs.
 */
final class StreamExchange {
    /** Time after which a peer that was asked has not answered, in milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 250;

    /** How long a leaf collects streams before it tells its hub, in milliseconds. */
    private static final long LEAF_NEWS_DELAY_MILLIS = 100;

    /** Age of the list of upstreams from which streams are told to others, in milliseconds. */
    private static final long MAX_LIST_AGE_MILLIS = 1_000;

    /** Number of peers that are told of a stream before its first event is forwarded. */
    private static final int REPLICAS = 2;

    private final LongSupplier nowMillis;
    private final StartupRequestQueue.Timer timer;
    private final StreamVersions streams;
    private final Links links;
    private final RecordReader record;
    private final Map<Long, List<Query>> queries = new HashMap<>();
    private final List<StreamSent> leafNews = new ArrayList<>();

    /** The peers that take part. */
    interface Links {
        /** Returns the peers that are asked: for a leaf its hub, for a hub all other hubs. */
        Collection<String> asked();

        /** Returns whether a peer can be asked. */
        boolean isSpeaker(String peer);

        /** Returns whether a peer relies on this process as its hub. */
        boolean isLeaf(String peer);

        /** Returns whether this process is a hub. */
        boolean isHub();

        /** Sends a message; returns the peers that have a link. */
        Set<String> send(Collection<String> peers, NodeMessage message);
    }

    /** Reads the record of the plans. */
    interface RecordReader {
        /**
         * Reads the record.
         *
         * @param done receives whether it was read
         */
        void read(Consumer<Boolean> done);
    }

    /**
     * What is known of a stream that is resumed.
     *
     * @param origin where it began
     * @param asked number of peers that were asked
     * @param answered number of those that answered
     * @param recordRead whether the record was read
     */
    record Finding(StreamOrigin origin, int asked, int answered, boolean recordRead) {}

    /** Receives what the peers that were asked know. */
    private interface Outcome {
        void ended(Optional<String> version, boolean complete);
    }

    /** A question that some peers have not answered yet. */
    private static final class Query {
        private final Set<String> waiting = new HashSet<>();
        private final Outcome outcome;
        private boolean complete;
        private boolean ended;
        private int asked;
        private int answered;

        Query(boolean complete, Outcome outcome) {
            this.complete = complete;
            this.outcome = outcome;
        }

        void end(Optional<String> version) {
            if (!ended) {
                ended = true;
                outcome.ended(version, complete && waiting.isEmpty());
            }
        }
    }

    /**
     * Creates an exchange.
     *
     * @param nowMillis the current time, in milliseconds
     * @param timer schedules tasks on the thread of this process
     * @param streams the versions of streams
     * @param links the peers
     * @param record reads the record of the plans
     */
    StreamExchange(
            LongSupplier nowMillis,
            StartupRequestQueue.Timer timer,
            StreamVersions streams,
            Links links,
            RecordReader record) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.streams = streams;
        this.links = links;
        this.record = record;
    }

    /**
     * Tells peers that a stream is sent to an upstream, before it can send events.
     *
     * @param call the request of the caller
     * @param version the version of the upstream
     * @param toAll whether all peers must know it
     */
    void sent(StreamCall call, String version, boolean toAll) {
        StreamSent stream = new StreamSent(StreamVersions.hash(call), version);
        if (!links.isHub()) {
            leafNews.add(stream);
            if (leafNews.size() == 1) {
                timer.schedule(LEAF_NEWS_DELAY_MILLIS, this::tellHub);
            }
        } else if (toAll) {
            links.send(speakers(links.asked()), new StreamNews(true, List.of(stream)));
        } else if (isOutdated() || streams.hasSeveralVersions(call.service())) {
            links.send(replicas(stream.stream()), new StreamNews(false, List.of(stream)));
        }
    }

    private boolean isOutdated() {
        return streams.listAgeMillis(nowMillis.getAsLong()) > MAX_LIST_AGE_MILLIS;
    }

    private List<String> replicas(long stream) {
        return links.asked().stream()
                .filter(links::isSpeaker)
                .sorted(Comparator.comparingLong(peer -> mix(stream, peer)))
                .limit(REPLICAS)
                .toList();
    }

    private static long mix(long stream, String peer) {
        return StreamVersions.hash(new StreamCall("", stream + peer));
    }

    private void tellHub() {
        List<StreamSent> news = List.copyOf(leafNews);
        leafNews.clear();
        links.send(speakers(links.asked()), new StreamNews(false, news));
    }

    private List<String> speakers(Collection<String> peers) {
        return peers.stream().filter(links::isSpeaker).toList();
    }

    /** Tells a hub that this process has begun to rely on of the streams that began here lately. */
    void speakerFound(String peer) {
        if (!links.isHub() && links.asked().contains(peer)) {
            List<StreamSent> news = new ArrayList<>();
            streams.own().forEach((stream, version) -> news.add(new StreamSent(stream, version)));
            links.send(List.of(peer), new StreamNews(false, news));
        }
    }

    /**
     * Finds out where a stream began.
     *
     * @param call the request of the caller that resumes it
     * @param done receives what is known
     */
    void find(StreamCall call, Consumer<Finding> done) {
        Query[] query = new Query[1];
        query[0] =
                ask(
                        StreamVersions.hash(call),
                        "",
                        (version, complete) -> asked(call, complete, query[0], done));
        begin(query[0]);
    }

    private void asked(StreamCall call, boolean complete, Query query, Consumer<Finding> done) {
        StreamOrigin origin = streams.computed(call, complete, false, nowMillis.getAsLong());
        if (origin.source() != StreamOrigin.Source.OUTDATED) {
            done.accept(new Finding(origin, query.asked, query.answered, false));
            return;
        }
        record.read(
                read ->
                        done.accept(
                                new Finding(
                                        streams.computed(
                                                call, complete, read, nowMillis.getAsLong()),
                                        query.asked,
                                        query.answered,
                                        read)));
    }

    /** Asks all peers but one, and returns the question, which has not begun yet. */
    private Query ask(long stream, String except, Outcome outcome) {
        List<String> peers = links.asked().stream().filter(peer -> !peer.equals(except)).toList();
        Set<String> linked = links.send(speakers(peers), new StreamQuery(stream));
        Query query = new Query(linked.size() == peers.size(), outcome);
        query.asked = peers.size();
        query.waiting.addAll(linked);
        queries.computeIfAbsent(stream, key -> new ArrayList<>()).add(query);
        timer.schedule(REPLY_TIMEOUT_MILLIS, () -> end(stream, query, Optional.empty()));
        return query;
    }

    private void begin(Query query) {
        if (query.waiting.isEmpty()) {
            query.end(Optional.empty());
        }
    }

    private void end(long stream, Query query, Optional<String> version) {
        List<Query> open = queries.get(stream);
        if (open != null && open.remove(query) && open.isEmpty()) {
            queries.remove(stream);
        }
        query.end(version);
    }

    /** Handles a message about streams. */
    void received(String peer, NodeMessage message) {
        if (message instanceof StreamQuery query) {
            queryReceived(peer, query.stream());
        } else if (message instanceof StreamReply reply) {
            replyReceived(peer, reply);
        } else if (message instanceof StreamNews news) {
            newsReceived(news);
        }
    }

    private void newsReceived(StreamNews news) {
        for (StreamSent each : news.streams()) {
            if (news.recorded()) {
                StreamRecord stream = new StreamRecord(each.stream(), each.version(), 0);
                streams.learned(stream, false, nowMillis.getAsLong());
            } else {
                streams.learned(each.stream(), each.version());
            }
        }
    }

    private void queryReceived(String peer, long stream) {
        Optional<String> known = streams.recorded(stream);
        if (known.isPresent() || !links.isLeaf(peer)) {
            reply(peer, stream, known, true);
        } else {
            begin(
                    ask(
                            stream,
                            peer,
                            (version, complete) ->
                                    reply(peer, stream, streams.recorded(stream), complete)));
        }
    }

    private void reply(String peer, long stream, Optional<String> version, boolean complete) {
        long plan = streams.newestPlanNumber();
        links.send(List.of(peer), new StreamReply(stream, version.orElse(""), plan, complete));
    }

    private void replyReceived(String peer, StreamReply reply) {
        streams.planTold(reply.plan(), Optional.empty(), nowMillis.getAsLong());
        if (!reply.version().isEmpty()) {
            streams.learned(reply.stream(), reply.version());
        }
        for (Query query : List.copyOf(queries.getOrDefault(reply.stream(), List.of()))) {
            if (query.waiting.remove(peer)) {
                query.answered++;
                query.complete &= reply.complete();
            }
            if (!reply.version().isEmpty() || query.waiting.isEmpty()) {
                end(reply.stream(), query, Optional.of(reply.version()));
            }
        }
    }
}
