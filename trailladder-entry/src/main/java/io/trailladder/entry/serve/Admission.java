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
package io.trailladder.entry.serve;

import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Failure.Kind;
import io.trailladder.core.request.Outcome;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.core.table.TargetKind;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether this entry takes a request, passes it to another data centre, or refuses it.
 *
 * @since 0.1
 */
final class Admission {
    private static final String ADMITTED_HEADER = "Trailladder-Admitted";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ServingContext context;
    private final RequestRegistry book;
    private final PeerRelay relay;
    private final DataCentreChooser chooser;

    Admission(
            ServingContext context, RequestRegistry book, PeerRelay relay, DataCentreChooser chooser) {
        this.context = context;
        this.book = book;
        this.relay = relay;
        this.chooser = chooser;
    }

    /**
     * Finds the row, takes its limit, and passes the request on if another data centre is better.
     */
    Optional<Row> admit(IncomingRequest request, String target, TargetKind kind, CallerSink sink) {
        String here = context.self().dataCentre();
        Optional<Row> row =
                context.policies()
                        .table()
                        .row(new RowKey(request.organisation(), target))
                        .filter(r -> r.kind() == kind);
        if (row.isEmpty()) {
            Answers.sendFailure(sink, "", refusal(request, Kind.NO_ROW, 0));
            return Optional.empty();
        }
        if (!row.get().allows(here)) {
            refuseOrRelay(request, row.get(), sink);
            return Optional.empty();
        }
        if (request.header(ADMITTED_HEADER).isEmpty()) {
            long waitMillis = context.policies().tryAcquire(row.get());
            if (waitMillis > 0) {
                Answers.sendFailure(sink, "", refusal(request, Kind.LIMIT, waitMillis));
                return Optional.empty();
            }
        }
        boolean passedOn =
                !request.relayed()
                        && chooser.fasterEntry(target, row.get().dataCentres(), here)
                                .map(peer -> forward(request, peer, sink))
                                .orElse(false);
        if (passedOn) {
            return Optional.empty();
        }
        boolean full = book.openCount() >= context.settings().limits().maxStreams();
        if (full || !context.placements().serves(target)) {
            Answers.sendFailure(sink, "", refusal(request, Kind.NO_CAPACITY, RETRY_AFTER_MILLIS));
            return Optional.empty();
        }
        return row;
    }

    private void refuseOrRelay(IncomingRequest request, Row row, CallerSink sink) {
        if (request.relayed()) {
            // the sender's table differs; it is never handled here
            Answers.sendFailure(sink, "", refusal(request, Kind.ROW_NARROWED, RETRY_AFTER_MILLIS));
        } else {
            relay(request, Optional.of(row.target()), row.dataCentres(), sink);
        }
    }

    private boolean forward(IncomingRequest request, EntryInfo peer, CallerSink sink) {
        List<Header> headers = new ArrayList<>(request.headers());
        headers.add(new Header(ADMITTED_HEADER, "yes"));
        IncomingRequest admitted =
                new IncomingRequest(
                        request.organisation(),
                        request.method(),
                        request.path(),
                        headers,
                        request.body(),
                        false);
        return relay.forward(peer.id(), "", admitted, sink, false);
    }

    /** Passes a request unread to an entry in one of the data centres. */
    void relay(
            IncomingRequest request,
            Optional<String> target,
            List<String> dataCentres,
            CallerSink sink) {
        boolean passedOn =
                chooser.entryIn(target, dataCentres)
                        .map(peer -> relay.forward(peer.id(), "", request, sink, false))
                        .orElse(false);
        if (!passedOn) {
            Answers.sendFailure(sink, "", refusal(request, Kind.NO_CAPACITY, RETRY_AFTER_MILLIS));
        }
    }

    /**
     * Refuses a request before its key was claimed. Only a request without key is then surely not
     * run: one with a key may have run when it was sent before.
     */
    static Failure refusal(IncomingRequest request, Kind kind, long retryAfterMillis) {
        boolean keyed = request.header(IncomingRequest.KEY_HEADER).isPresent();
        return new Failure(keyed ? Outcome.UNKNOWN : Outcome.NOT_RUN, kind, retryAfterMillis);
    }
}
