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
 * Holds the model requests that this entry works on, and copies of those that other entries work
 * on.
 *
 * <p>Before a repeatable request starts, another entry in a data centre that the row allows stores
 * a copy of it. A request that no entry confirms in time starts without a copy and is counted. The
 * copy receives the new tokens of the answer every {@link #COPY_INTERVAL_MILLIS}. If the entry that
 * works on the request is lost, the copy holder resumes it from the tokens it has; an entry that
 * stops hands its requests over.
 *
 * @since 0.1
 */
public final class RequestRegistry {
    /** Interval at which new tokens are sent to the copies, in milliseconds. */
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
     * Creates an empty registry.
     *
     * @param context objects shared by the serving code
     * @param stopping whether a peer has announced that it stops
     */
    public RequestRegistry(ServingContext context, Predicate<String> stopping) {
        this.context = context;
        this.peerSelector =
                new PeerSelector(
                        context.links(), context.policies(), context.self().dataCentre(), stopping);
        this.handOvers = new HandOvers(context, peerSelector);
        this.copySender = new CopySender(context, peerSelector);
        this.localRequests = new LocalRequests(context, copySender);
        this.resumer =
                new RequestResumer(
                        context, localRequests, copies, copySender, peerSelector, handOvers);
        PeriodicTasks.repeat(
                context.timer(),
                "copies",
                () -> copySender.sendUpdates(localRequests.all()),
                COPY_INTERVAL_MILLIS);
        context.policies()
                .onChange(table -> localRequests.all().forEach(local -> local.runner.recheckRow()));
    }

    /**
     * Accepts a request: sends a copy to another entry, then starts the request. If a request with
     * the same ID is here already, the caller is attached to that one, or refused if the content
     * differs.
     *
     * @param request the request
     * @param row the row that allows it
     * @param sink where the answer goes
     */
    public void accept(RequestRecord request, Row row, CallerSink sink) {
        Optional<LocalRequest> existing = localRequests.find(request.requestId());
        if (existing.isPresent()) {
            attachToExisting(existing.get(), request, sink);
            return;
        }
        if (!row.repeatable()) {
            // no other entry may resume it, so it needs no copy
            begin(request, row, "", sink);
            return;
        }
        String copyHolder = peerSelector.choose(request).orElse("");
        CompletableFuture<Void> copied =
                pendingCopies.computeIfAbsent(request.requestId(), id -> new CompletableFuture<>());
        if (copyHolder.isEmpty() || !context.links().send(copyHolder, new RecordPut(request))) {
            copied.completeExceptionally(
                    new IllegalStateException("no peer available to hold a copy"));
        }
        context.timer()
                .schedule(
                        () ->
                                copied.completeExceptionally(
                                        new TimeoutException("no peer confirmed the copy in time")),
                        COPY_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
        copied.whenComplete(
                (done, failure) -> {
                    pendingCopies.remove(request.requestId());
                    if (failure != null) {
                        context.metrics().count(Event.UNCOPIED);
                    }
                    begin(request, row, copyHolder, sink);
                });
    }

    /**
     * Finds a request that this entry works on, and resumes it if all its callers had left.
     *
     * @param requestId its ID
     * @param organisation the organisation that it must belong to
     * @return its runner; empty if this entry does not work on it
     */
    public Optional<GenerationRunner> find(String requestId, String organisation) {
        return findLocal(requestId, organisation)
                .map(local -> local.runner)
                .flatMap(
                        runner ->
                                runner.isAbandoned()
                                        ? resumer.resumeAbandoned(runner)
                                        : Optional.of(runner));
    }

    private Optional<LocalRequest> findLocal(String requestId, String organisation) {
        return localRequests
                .find(requestId)
                .filter(local -> local.runner.organisation().equals(organisation))
                .filter(local -> !local.runner.isMovedAway());
    }

    /**
     * Resumes a request from the copy that this entry holds.
     *
     * @param requestId its ID
     * @param organisation the organisation that it must belong to
     * @return its runner; empty if there is no copy or the request may not be resumed here
     */
    public Optional<GenerationRunner> resumeFromCopy(String requestId, String organisation) {
        return resumer.resumeForCaller(requestId, organisation);
    }

    /**
     * Returns whether this entry works on a request, could resume it, or neither.
     *
     * @param requestId its ID
     * @param organisation the organisation that it must belong to
     * @return its standing here
     */
    public Standing standing(String requestId, String organisation) {
        Optional<LocalRequest> local = findLocal(requestId, organisation);
        if (local.isPresent() && !local.get().runner.isAbandoned()) {
            return Standing.HOLDER;
        }
        boolean copy =
                !localRequests.isClosed()
                        && (local.isPresent()
                                || copies.find(requestId, organisation)
                                        .flatMap(kept -> resumer.allowedRow(kept.request()))
                                        .isPresent());
        return copy ? Standing.COPY : Standing.NONE;
    }

    /**
     * Returns the number of requests in flight here.
     *
     * @return number of requests that have not ended
     */
    public int openCount() {
        return (int) localRequests.all().stream().filter(local -> !local.runner.isEnded()).count();
    }

    /**
     * Returns the number of copies held for other entries.
     *
     * @return number of copies
     */
    public int copies() {
        return copies.size();
    }

    /**
     * Moves requests away from an upstream that is leaving. Requests of heavier rows move first, at
     * a rate that does not overload the remaining upstreams.
     *
     * @param upstream the upstream's name
     * @param noticeMillis time for which it still runs, in milliseconds
     */
    public void upstreamLeaving(String upstream, long noticeMillis) {
        List<GenerationRunner> runners =
                localRequests.all().stream()
                        .map(local -> local.runner)
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
                    .schedule(
                            () -> runner.upstreamLeaving(upstream, left),
                            delay,
                            TimeUnit.MILLISECONDS);
            delay = Math.min(delay + MOVE_INTERVAL_MILLIS, noticeMillis / 2);
        }
    }

    /**
     * Hands the requests in flight over to other entries. Those that run at most once and those
     * that no other entry may serve continue here until {@link #endUnfinished}. From now on this
     * entry neither starts nor resumes a request.
     */
    public void handOverAll() {
        for (LocalRequest local : localRequests.close()) {
            GenerationRunner runner = local.runner;
            boolean mayMove =
                    runner.isRepeatable() && peerSelector.choose(runner.request()).isPresent();
            if (mayMove) {
                RequestRecord record = runner.suspend();
                handOvers.offer(
                        record, local.copyHolder, runner.lastEvent(), runner::redirectReceivers);
            }
        }
    }

    /**
     * Ends the requests that were not handed over. Callers whose request has a copy at another
     * entry are redirected to look it up again; the others receive its final outcome.
     */
    public void endUnfinished() {
        handOvers.endAll();
        for (LocalRequest local : localRequests.all()) {
            if (!local.isActive()) {
                continue;
            }
            if (local.copyHolder.isEmpty()) {
                local.runner.endUnfinished();
            } else {
                local.runner.suspend();
                local.runner.redirectReceivers();
            }
        }
    }

    /**
     * Handles the loss of a peer: resumes those of its requests that this entry has copies of.
     *
     * @param peer the peer's name
     */
    public void peerLost(String peer) {
        handOvers.peerLost(peer);
        localRequests.all().stream()
                .filter(local -> local.copyHolder.equals(peer))
                .forEach(local -> local.copyHolder = "");
        resumer.peerLost(peer);
    }

    /**
     * Answers a peer's query for a request.
     *
     * @param peer the peer's name
     * @param find the query
     * @return its standing here
     */
    public Standing answerFind(String peer, RecordFind find) {
        resumer.findReceived(peer, find);
        return standing(find.requestId(), find.organisation());
    }

    /**
     * Handles a peer's answer to a query for a request.
     *
     * @param peer the peer's name
     * @param found its answer
     */
    public void findAnswered(String peer, RecordFound found) {
        handOvers.findAnswered(peer, found);
        localRequests
                .find(found.requestId())
                .ifPresent(local -> resumer.ownerAnswered(local, peer, found.standing()));
    }

    /**
     * Stores a copy for a peer and confirms it.
     *
     * @param from the peer
     * @param put the request
     */
    public void storeCopy(EntryInfo from, RecordPut put) {
        copies.put(put.request(), from.id());
        context.links().send(from.id(), new RecordKept(put.request().requestId()));
    }

    /**
     * Handles the confirmation that a peer has stored a copy.
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
     * Appends tokens to copies.
     *
     * @param tokens the tokens
     */
    public void appendTokens(RecordTokens tokens) {
        tokens.parts().forEach(copies::append);
    }

    /**
     * Drops what this entry has from a peer: a copy, or a request that the peer handed over and
     * that another entry has now. Sent by a copy holder, the message means that it no longer holds
     * the copy.
     *
     * @param from the peer
     * @param drop identifies the request
     */
    public void dropReceived(EntryInfo from, RecordDrop drop) {
        copies.drop(drop.requestId(), from.id());
        localRequests
                .find(drop.requestId())
                .ifPresent(
                        local -> {
                            if (local.copyHolder.equals(from.id())) {
                                local.copyHolder = "";
                            }
                            resumer.withdraw(local, from.id());
                        });
    }

    /**
     * Resumes a request that a stopping peer hands over.
     *
     * @param from the peer
     * @param handOver the request
     */
    public void acceptHandOver(EntryInfo from, RecordHandOver handOver) {
        resumer.acceptHandOver(from.id(), handOver.request());
    }

    private static boolean hasSameContent(RequestRecord existing, RequestRecord request) {
        return existing.model().equals(request.model())
                && existing.prompt().equals(request.prompt())
                && existing.maxTokens() == request.maxTokens()
                && existing.stream() == request.stream()
                && existing.chat() == request.chat();
    }

    /** Attaches a caller to a request that is here already; refuses it if the content differs. */
    private static void attachToExisting(
            LocalRequest existing, RequestRecord request, CallerSink sink) {
        if (hasSameContent(existing.runner.request(), request)) {
            existing.runner.attach(sink, 0);
        } else {
            Answers.sendFailure(sink, "", Failure.notRun(Failure.Kind.CLAIM_MISMATCH, 0));
        }
    }

    private void begin(RequestRecord request, Row row, String copyHolder, CallerSink sink) {
        Optional<AddResult> result = localRequests.add(request, row, copyHolder, existing -> true);
        if (result.isEmpty()) {
            copySender.drop(copyHolder, request.requestId());
            Answers.sendFailure(sink, request.requestId(), stoppingFailure(request));
        } else if (result.get().added()) {
            GenerationRunner runner = result.get().request().runner;
            runner.attach(sink, 0);
            runner.start();
        } else {
            attachToExisting(result.get().request(), request, sink);
        }
    }

    /** A request whose ID is made from its caller's key may have run when it was sent before. */
    private static Failure stoppingFailure(RequestRecord request) {
        boolean keyed = RequestIds.isFromKey(request.requestId());
        Outcome outcome = keyed ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return new Failure(outcome, Failure.Kind.STOPPING, RETRY_AFTER_MILLIS);
    }
}
