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
import io.trailladder.core.request.Outcome;
import io.trailladder.core.table.Row;
import io.trailladder.entry.EntryMetrics.Event;
import io.trailladder.entry.PeriodicTasks;
import io.trailladder.entry.serve.LocalRequests.AddResult;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage.RecordDrop;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.RecordKept;
import io.trailladder.wire.PeerMessage.RecordPut;
import io.trailladder.wire.PeerMessage.RecordTokens;
import io.trailladder.wire.PeerMessage.Standing;
import io.trailladder.wire.RequestRecord;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;

/**
 * Knows the model requests this entry works on, and keeps copies of those that other entries work
 * on.
 *
 * <p>Before a request counts as accepted, another entry has a copy of it, in a data centre that the
 * row allows. The copy follows the answer every {@link #COPY_INTERVAL_MILLIS}. If the entry that works on
 * the request is lost or stops, the copy's keeper goes on from the tokens it has.
 *
 * @since 0.1
 */
public final class RequestRegistry {
    /** How often tokens are copied, in milliseconds. */
    public static final long COPY_INTERVAL_MILLIS = 100;

    private static final long COPY_TIMEOUT_MILLIS = 150;
    private static final long MOVE_INTERVAL_MILLIS = 2;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ServingContext context;
    private final CopyStore copies = new CopyStore();
    private final Map<String, CompletableFuture<Void>> pendingCopies = new ConcurrentHashMap<>();

    private final PeerSelector peerSelector;
    private final HandOvers handOvers;
    private final CopySender copySender;
    private final LocalRequests localRequests;
    private final RequestResumer resumer;

    /**
     * Creates an empty book.
     *
     * @param context what serving code shares
     * @param stopping tells whether a peer has said that it stops
     */
    public RequestRegistry(ServingContext context, Predicate<String> stopping) {
        this.context = context;
        this.peerSelector =
                new PeerSelector(
                        context.links(), context.policies(), context.self().dataCentre(), stopping);
        this.handOvers = new HandOvers(context, peerSelector);
        this.copySender = new CopySender(context, peerSelector);
        this.localRequests = new LocalRequests(context, copySender);
        this.resumer = new RequestResumer(context, localRequests, copies, copySender, peerSelector, handOvers);
        PeriodicTasks.repeat(
                context.timer(), "copies", () -> copySender.sendUpdates(localRequests.all()), COPY_INTERVAL_MILLIS);
        context.policies().onChange(table -> localRequests.all().forEach(h -> h.runner.recheckRow()));
    }

    /**
     * Accepts a request: has it copied, then begins it. If the book already has the name, the
     * request it has is attached to instead, unless its content differs.
     *
     * @param request the request
     * @param row the row that allows it
     * @param sink where the answer goes
     */
    public void accept(RequestRecord request, Row row, CallerSink sink) {
        Optional<LocalRequest> known = localRequests.find(request.requestId());
        if (known.isPresent()) {
            attachToExisting(known.get(), request, sink);
            return;
        }
        if (!row.repeatable()) {
            // nobody may go on with it, so nobody needs a copy
            begin(request, row, "", sink);
            return;
        }
        String keeper = peerSelector.choose(request).orElse("");
        CompletableFuture<Void> copied =
                pendingCopies.computeIfAbsent(request.requestId(), id -> new CompletableFuture<>());
        if (keeper.isEmpty() || !context.links().send(keeper, new RecordPut(request))) {
            copied.completeExceptionally(new IllegalStateException("no keeper"));
        }
        context.timer()
                .schedule(
                        () -> copied.completeExceptionally(new TimeoutException("no copy in time")),
                        COPY_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
        copied.whenComplete(
                (done, failure) -> {
                    pendingCopies.remove(request.requestId());
                    if (failure != null) {
                        context.metrics().count(Event.UNCOPIED);
                    }
                    begin(request, row, keeper, sink);
                });
    }

    /**
     * Finds a request this entry works on.
     *
     * @param requestId its name
     * @param organisation whose it must be
     * @return its runner
     */
    public Optional<GenerationRunner> find(String requestId, String organisation) {
        return findLocal(requestId, organisation)
                .map(h -> h.runner)
                .flatMap(
                        runner ->
                                runner.isAbandoned()
                                        ? resumer.resumeAbandoned(runner)
                                        : Optional.of(runner));
    }

    private Optional<LocalRequest> findLocal(String requestId, String organisation) {
        return localRequests.find(requestId)
                .filter(h -> h.runner.organisation().equals(organisation))
                .filter(h -> !h.runner.isMovedAway());
    }

    /**
     * Goes on with a request this entry has a copy of.
     *
     * @param requestId its name
     * @param organisation whose it must be
     * @return its runner, if there is such a copy
     */
    public Optional<GenerationRunner> resumeFromCopy(String requestId, String organisation) {
        return resumer.resumeForCaller(requestId, organisation);
    }

    /**
     * Tells what this entry has of a request.
     *
     * @param requestId its name
     * @param organisation whose it must be
     * @return its standing here
     */
    public Standing standing(String requestId, String organisation) {
        Optional<LocalRequest> mine = findLocal(requestId, organisation);
        if (mine.isPresent() && !mine.get().runner.isAbandoned()) {
            return Standing.HOLDER;
        }
        boolean copy =
                !localRequests.isClosed()
                        && (mine.isPresent()
                                || copies.find(requestId, organisation)
                                        .flatMap(kept -> resumer.allowedRow(kept.request()))
                                        .isPresent());
        return copy ? Standing.COPY : Standing.NONE;
    }

    /**
     * Returns how many requests are in flight here.
     *
     * @return a count
     */
    public int openCount() {
        return (int) localRequests.all().stream().filter(h -> !h.runner.isEnded()).count();
    }

    /**
     * Returns how many copies are kept for other entries.
     *
     * @return a count
     */
    public int copies() {
        return copies.size();
    }

    /**
     * Is told that an upstream is leaving. Requests of heavier rows are moved first, at a pace that
     * does not overrun the upstreams that stay.
     *
     * @param upstream the upstream's name
     * @param noticeMillis how long it will still run, in milliseconds
     */
    public void upstreamLeaving(String upstream, long noticeMillis) {
        List<GenerationRunner> runners =
                localRequests.all().stream()
                        .map(h -> h.runner)
                        .filter(runner -> !runner.isEnded())
                        .sorted(Comparator.comparingInt(GenerationRunner::weight).reversed())
                        .toList();
        long delay = 0;
        for (GenerationRunner runner : runners) {
            if (!runner.runsAt(upstream)) {
                continue;
            }
            long left = Math.max(0, noticeMillis - delay);
            context.timer()
                    .schedule(() -> runner.upstreamLeaving(upstream, left), delay, TimeUnit.MILLISECONDS);
            delay = Math.min(delay + MOVE_INTERVAL_MILLIS, noticeMillis / 2);
        }
    }

    /**
     * Hands every request in flight to another entry, but those that run at most once and those
     * that no other entry may have: these go on here until {@link #endUnfinished}. From now on this
     * entry takes up none.
     */
    public void handOverAll() {
        for (LocalRequest h : localRequests.close()) {
            GenerationRunner runner = h.runner;
            boolean mayMove = runner.isRepeatable() && peerSelector.choose(runner.request()).isPresent();
            if (mayMove) {
                RequestRecord record = runner.suspend();
                handOvers.offer(record, h.copyHolder, runner.lastEvent(), runner::redirectReceivers);
            }
        }
    }

    /**
     * Ends what was not handed over: callers are told to ask again or, if nobody may go on with
     * their requests, how these ended.
     */
    public void endUnfinished() {
        handOvers.endAll();
        for (LocalRequest h : localRequests.all()) {
            if (!h.isActive()) {
                continue;
            }
            if (h.copyHolder.isEmpty()) {
                h.runner.endUnfinished();
            } else {
                h.runner.suspend();
                h.runner.redirectReceivers();
            }
        }
    }

    /**
     * Is told that a peer is lost: its requests go on here if this entry has their copies.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        handOvers.peerLost(peer);
        localRequests.all().stream().filter(h -> h.copyHolder.equals(peer)).forEach(h -> h.copyHolder = "");
        resumer.peerLost(peer);
    }

    /**
     * Tells a peer that asks what this entry has of a request.
     *
     * @param peer the peer's name
     * @param find names the request
     * @return its standing here
     */
    public Standing answerFind(String peer, RecordFind find) {
        resumer.findReceived(peer, find);
        return standing(find.requestId(), find.organisation());
    }

    /**
     * Takes a peer's answer to a question for a request.
     *
     * @param peer the peer's name
     * @param found its answer
     */
    public void findAnswered(String peer, RecordFound found) {
        handOvers.findAnswered(peer, found);
        localRequests.find(found.requestId())
                .ifPresent(h -> resumer.ownerAnswered(h, peer, found.standing()));
    }

    /**
     * Keeps a copy for a peer.
     *
     * @param from the peer
     * @param put the request
     */
    public void storeCopy(EntryInfo from, RecordPut put) {
        copies.put(put.request(), from.id());
        context.links().send(from.id(), new RecordKept(put.request().requestId()));
    }

    /**
     * Is told that a copy is kept.
     *
     * @param kept the confirmation
     */
    public void copyStored(RecordKept kept) {
        CompletableFuture<Void> copied = pendingCopies.get(kept.requestId());
        if (copied != null) {
            copied.complete(null);
        }
    }

    /**
     * Adds tokens to copies.
     *
     * @param tokens the tokens
     */
    public void appendTokens(RecordTokens tokens) {
        tokens.parts().forEach(copies::append);
    }

    /**
     * Gives a copy up, or a request that the peer had handed over and that another one has now. A
     * peer that keeps a copy for this entry says so that it keeps it no more.
     *
     * @param from the peer
     * @param drop names the request
     */
    public void dropReceived(EntryInfo from, RecordDrop drop) {
        copies.drop(drop.requestId(), from.id());
        localRequests.find(drop.requestId())
                .ifPresent(
                        h -> {
                            if (h.copyHolder.equals(from.id())) {
                                h.copyHolder = "";
                            }
                            resumer.withdraw(h, from.id());
                        });
    }

    /**
     * Goes on with a request that a stopping peer hands over.
     *
     * @param from the peer
     * @param handOver the request
     */
    public void acceptHandOver(EntryInfo from, RecordHandOver handOver) {
        resumer.acceptHandOver(from.id(), handOver.request());
    }

    private static boolean hasSameContent(RequestRecord known, RequestRecord request) {
        return known.model().equals(request.model())
                && known.prompt().equals(request.prompt())
                && known.maxTokens() == request.maxTokens()
                && known.stream() == request.stream()
                && known.chat() == request.chat();
    }

    /** Brings the answer of a request that is here already, unless its content differs. */
    private static void attachToExisting(LocalRequest known, RequestRecord request, CallerSink sink) {
        if (hasSameContent(known.runner.request(), request)) {
            known.runner.attach(sink, 0);
        } else {
            Answers.sendFailure(sink, "", Failure.notRun(Failure.Kind.CLAIM_MISMATCH, 0));
        }
    }

    private void begin(RequestRecord request, Row row, String keeper, CallerSink sink) {
        Optional<AddResult> holding = localRequests.add(request, row, keeper, known -> true);
        if (holding.isEmpty()) {
            copySender.drop(keeper, request.requestId());
            Answers.sendFailure(sink, request.requestId(), stoppingFailure(request));
        } else if (holding.get().added()) {
            GenerationRunner runner = holding.get().request().runner;
            runner.attach(sink, 0);
            runner.start();
        } else {
            attachToExisting(holding.get().request(), request, sink);
        }
    }

    /** A request that its caller named may have run when it was sent before. */
    private static Failure stoppingFailure(RequestRecord request) {
        boolean named = RequestIds.isFromKey(request.requestId());
        Outcome outcome = named ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return new Failure(outcome, Failure.Kind.STOPPING, RETRY_AFTER_MILLIS);
    }
}
