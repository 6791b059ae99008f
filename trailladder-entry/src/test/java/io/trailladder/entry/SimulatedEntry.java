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
package io.trailladder.entry;

import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.table.Table;
import io.trailladder.entry.EntrySettings.CallerLimits;
import io.trailladder.entry.EntrySettings.Foreign;
import io.trailladder.entry.peer.Peers;
import io.trailladder.entry.serve.ClaimService;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.IncomingRequest;
import io.trailladder.entry.serve.PeerRelay;
import io.trailladder.entry.serve.PeerServer;
import io.trailladder.entry.serve.Placements;
import io.trailladder.entry.serve.RequestDispatcher;
import io.trailladder.entry.serve.RequestFinder;
import io.trailladder.entry.serve.RequestRegistry;
import io.trailladder.entry.serve.RowPolicies;
import io.trailladder.entry.serve.ServingContext;
import io.trailladder.platform.http.HostPort;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.Header;
import io.trailladder.wire.PeerMessage.Heartbeat;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One entry with all its serving components, without sockets, platform or other threads. */
final class SimulatedEntry {
    static final String ORGANISATION = "banco-sur";
    static final String MODEL = "modelo-hipo";

    private static final HostPort NOWHERE = new HostPort("127.0.0.1", 1);

    final EntryInfo info;
    final VirtualTimer timer;
    final RequestRegistry book;
    final RowPolicies policies = new RowPolicies();
    private final RequestDispatcher dispatcher;
    private final DataCentreChooser chooser;
    private final PeerRouter router;
    private final List<RecordedAnswer> answers = new ArrayList<>();

    SimulatedEntry(EntryInfo info, VirtualTimer timer, Peers links, SimulatedEngine engine) {
        this.info = info;
        this.timer = timer;
        Placements placements = new Placements(info.dataCentre(), 1, timer);
        placements.applyList(
                List.of(new LocalUpstream("e-1", info.dataCentre(), "127.0.0.1:1", MODEL)),
                List.of());
        ServingContext context =
                new ServingContext(
                        info,
                        settings(info.dataCentre()),
                        placements,
                        engine.viewFor(info.id(), timer),
                        null,
                        links,
                        timer,
                        new EntryMetrics(),
                        policies);
        chooser = new DataCentreChooser(links, placements);
        book = new RequestRegistry(context, chooser::isStopping);
        ClaimService claims =
                new ClaimService(info.id(), links, RangeMap.DEFAULT_RANGES, 1_000, 60_000);
        PeerRelay relay = new PeerRelay(links);
        RequestFinder finder = new RequestFinder(links, timer);
        dispatcher = new RequestDispatcher(context, book, claims, relay, chooser, finder);
        router =
                new PeerRouter(
                        new PeerRouter.Parts(
                                null,
                                chooser,
                                null,
                                null,
                                book,
                                finder,
                                relay,
                                new PeerServer(links, dispatcher, book),
                                claims,
                                null));
    }

    private static EntrySettings settings(String dataCentre) {
        return new EntrySettings(
                dataCentre,
                "",
                NOWHERE,
                NOWHERE,
                NOWHERE,
                NOWHERE,
                NOWHERE,
                List.of(),
                new byte[1],
                CallerLimits.DEFAULTS,
                60_000,
                0,
                Foreign.RELAY);
    }

    String id() {
        return info.id();
    }

    void table(Table table) {
        policies.offer(table);
    }

    /** Starts a stream as a caller does. */
    RecordedAnswer stream(int tokens, RecordedAnswer sink, Header... headers) {
        String body =
                "{\"model\":\""
                        + MODEL
                        + "\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":"
                        + tokens
                        + "}";
        return serve("POST", "/v1/completions", body, sink, List.of(headers));
    }

    /** Requests the events of a request from an index on, as a caller does whose stream ended. */
    RecordedAnswer ask(String requestId, int fromEvent, RecordedAnswer sink) {
        List<Header> headers =
                fromEvent > 0
                        ? List.of(new Header("Last-Event-ID", Integer.toString(fromEvent - 1)))
                        : List.of();
        return serve("GET", "/v1/requests/" + requestId, "", sink, headers);
    }

    private RecordedAnswer serve(
            String method, String path, String body, RecordedAnswer sink, List<Header> headers) {
        answers.add(sink);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        IncomingRequest request =
                new IncomingRequest(ORGANISATION, method, path, headers, bytes, false);
        timer.run(() -> dispatcher.serve(request, sink));
        return sink;
    }

    void received(EntryInfo from, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            chooser.heartbeatReceived(from.id(), heartbeat);
        } else {
            router.received(from, message);
        }
    }

    void lost(EntryInfo peer) {
        router.lost(peer);
    }

    /** Refuses new requests from now on. */
    void drain() {
        dispatcher.drain();
    }

    /** Ends at once: drops its timer tasks and breaks the connections of its callers. */
    void kill() {
        timer.shutdown();
        answers.forEach(RecordedAnswer::cut);
    }

    @Override
    public String toString() {
        return id();
    }
}
