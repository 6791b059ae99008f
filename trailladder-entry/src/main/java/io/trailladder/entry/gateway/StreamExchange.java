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
import io.trailladder.core.upstream.StreamInquiry;
import io.trailladder.core.upstream.StreamOrigin;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.StreamQuery;
import io.trailladder.wire.NodeMessage.StreamReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Asks peers at which versions streams began that callers resume, and answers such questions.
 *
 * <p>In a full mesh every process is asked. A leaf asks its hub, which is told of all its streams;
 * the hub asks the other hubs.
 */
final class StreamExchange {
    /** Time after which a peer that was asked has not answered, in milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 250;

    private final LongSupplier nowMillis;
    private final StartupRequestQueue.Timer timer;
    private final StreamVersions streams;
    private final StreamPeers peers;
    private final RecordReader record;
    private final Map<Long, List<Query>> queries = new HashMap<>();

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

    /** Receives the result of a question. */
    private interface Outcome {
        void ended(Query query);
    }

    /** A question that some peers have not answered yet. */
    private static final class Query {
        private final long stream;
        private final Set<String> waiting;
        private final Outcome outcome;
        private final int asked;
        private boolean complete;
        private boolean ended;
        private int answered;

        Query(long stream, Set<String> waiting, boolean complete, Outcome outcome) {
            this.stream = stream;
            this.waiting = new HashSet<>(waiting);
            this.asked = waiting.size();
            this.complete = complete;
            this.outcome = outcome;
        }

        boolean isAnswered() {
            return complete && waiting.isEmpty();
        }

        void end() {
            if (!ended) {
                ended = true;
                outcome.ended(this);
            }
        }
    }

    /**
     * Creates an exchange.
     *
     * @param nowMillis the current time, in milliseconds
     * @param timer schedules tasks on the thread of this process
     * @param streams the versions of streams
     * @param peers the peers
     * @param record reads the record of the plans
     */
    StreamExchange(
            LongSupplier nowMillis,
            StartupRequestQueue.Timer timer,
            StreamVersions streams,
            StreamPeers peers,
            RecordReader record) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.streams = streams;
        this.peers = peers;
        this.record = record;
    }

    /**
     * Finds out where a stream began.
     *
     * @param call the request of the caller that resumes it
     * @param done receives what is known
     */
    void find(StreamCall call, Consumer<Finding> done) {
        ask(StreamVersions.hash(call), "", query -> asked(call, query, done));
    }

    private void asked(StreamCall call, Query query, Consumer<Finding> done) {
        StreamOrigin origin = computed(call, query, false);
        if (origin.source() == StreamOrigin.Source.OUTDATED) {
            record.read(read -> done.accept(finding(computed(call, query, read), query, read)));
        } else {
            done.accept(finding(origin, query, false));
        }
    }

    private StreamOrigin computed(StreamCall call, Query query, boolean recordRead) {
        StreamInquiry inquiry =
                new StreamInquiry(query.isAnswered(), peers.isFullMesh(), recordRead);
        return streams.computed(call, inquiry, nowMillis.getAsLong());
    }

    private static Finding finding(StreamOrigin origin, Query query, boolean recordRead) {
        return new Finding(origin, query.asked, query.answered, recordRead);
    }

    /** Asks all peers but one; the outcome is known at once if there is none to ask. */
    private void ask(long stream, String except, Outcome outcome) {
        List<String> asked = peers.asked().stream().filter(peer -> !peer.equals(except)).toList();
        Set<String> linked = peers.send(asked, new StreamQuery(stream));
        Query query = new Query(stream, linked, linked.containsAll(peers.needed(except)), outcome);
        if (linked.isEmpty()) {
            query.end();
            return;
        }
        queries.computeIfAbsent(stream, key -> new ArrayList<>()).add(query);
        timer.schedule(REPLY_TIMEOUT_MILLIS, () -> end(query));
    }

    private void end(Query query) {
        List<Query> open = queries.get(query.stream);
        if (open != null && open.remove(query) && open.isEmpty()) {
            queries.remove(query.stream);
        }
        query.end();
    }

    /** Handles a question or an answer of a peer. */
    void received(String peer, NodeMessage message) {
        if (message instanceof StreamQuery query) {
            queryReceived(peer, query.stream());
        } else if (message instanceof StreamReply reply) {
            replyReceived(peer, reply);
        }
    }

    private void queryReceived(String peer, long stream) {
        if (streams.recorded(stream).isPresent() || !peers.isAskedFor(peer)) {
            reply(peer, stream, true);
        } else {
            ask(stream, peer, query -> reply(peer, stream, query.isAnswered()));
        }
    }

    private void reply(String peer, long stream, boolean complete) {
        Optional<String> version = streams.recorded(stream);
        long plan = streams.plans().current().number();
        peers.send(List.of(peer), new StreamReply(stream, version.orElse(""), plan, complete));
    }

    private void replyReceived(String peer, StreamReply reply) {
        streams.plans().told(reply.plan(), Optional.empty(), nowMillis.getAsLong());
        boolean known = !reply.version().isEmpty();
        if (known) {
            streams.learned(reply.stream(), reply.version());
        }
        for (Query query : List.copyOf(queries.getOrDefault(reply.stream(), List.of()))) {
            if (query.waiting.remove(peer)) {
                query.answered++;
                query.complete &= reply.complete();
            }
            if (known || query.waiting.isEmpty()) {
                end(query);
            }
        }
    }
}
