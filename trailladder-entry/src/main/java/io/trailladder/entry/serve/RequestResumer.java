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

import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.entry.EntryMetrics.Event;
import io.trailladder.entry.serve.CopyStore.Copy;
import io.trailladder.entry.serve.LocalRequests.AddResult;
import io.trailladder.entry.serve.RequestMoves.Cause;
import io.trailladder.entry.serve.RequestMoves.Result;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordPut;
import io.trailladder.wire.PeerMessage.Standing;
import io.trailladder.wire.RequestRecord;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Resumes requests of other entries: requests that these hand over, requests of lost entries, and
 * requests that a caller looks up. A request is returned to its former owner if that one still
 * works on it.
 */
final class RequestResumer {
    private static final long PASS_ON_DELAY_MILLIS = 50;

    private final ServingContext context;
    private final LocalRequests localRequests;
    private final CopyStore copies;
    private final CopySender copySender;
    private final PeerSelector peerSelector;
    private final HandOvers handOvers;
    private final Map<String, Copy> refusedHandOvers = new ConcurrentHashMap<>();

    RequestResumer(
            ServingContext context,
            LocalRequests localRequests,
            CopyStore copies,
            CopySender copySender,
            PeerSelector peerSelector,
            HandOvers handOvers) {
        this.context = context;
        this.localRequests = localRequests;
        this.copies = copies;
        this.copySender = copySender;
        this.peerSelector = peerSelector;
        this.handOvers = handOvers;
    }

    /** Resumes a request whose copy is here, because a caller looks it up. */
    Optional<GenerationRunner> resumeForCaller(String requestId, String organisation) {
        if (localRequests.isClosed()) {
            copies.find(requestId, organisation)
                    .ifPresent(copy -> log(copy, Cause.ASKED_FOR, Result.STOPPING));
            return Optional.empty();
        }
        return copies.take(requestId, organisation).flatMap(copy -> resume(copy, Cause.ASKED_FOR));
    }

    /** Resumes a request of this entry whose callers had all left, because one looks it up. */
    Optional<GenerationRunner> resumeAbandoned(GenerationRunner abandoned) {
        return resume(new Copy(abandoned.record(), context.self().id()), Cause.ASKED_FOR);
    }

    /** Resumes the unfinished requests of a lost peer. */
    void peerLost(String peer) {
        if (localRequests.isClosed()) {
            copies.unfinishedOf(peer)
                    .forEach(copy -> log(copy, Cause.HOLDER_LOST, Result.STOPPING));
        } else {
            copies.takeUnfinishedOf(peer).forEach(copy -> resume(copy, Cause.HOLDER_LOST));
        }
    }

    /** Resumes a request that a peer hands over. */
    void acceptHandOver(String from, RequestRecord request) {
        Copy offered = new Copy(request, from);
        if (localRequests.isClosed()) {
            log(offered, Cause.HANDED_OVER, Result.STOPPING);
            refusedHandOvers.put(request.requestId(), offered);
            context.timer()
                    .schedule(() -> passOn(offered), PASS_ON_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        copies.drop(request.requestId());
        resume(offered, Cause.HANDED_OVER);
    }

    /** Hands a refused request over to another entry, unless its sender does so itself. */
    private void passOn(Copy offered) {
        RequestRecord request = offered.request();
        if (refusedHandOvers.remove(request.requestId(), offered)) {
            handOvers.offer(request, "", -1, () -> {});
        }
    }

    /**
     * Handles a peer's query for a request: a sender that queries learns of the refusal and chooses
     * another successor itself.
     */
    void findReceived(String peer, RecordFind find) {
        refusedHandOvers.computeIfPresent(
                find.requestId(), (id, copy) -> copy.owner().equals(peer) ? null : copy);
    }

    /** Returns a request to the entry that it was resumed from if that one still works on it. */
    void ownerAnswered(LocalRequest local, String owner, Standing standing) {
        if (!local.resumedFrom.equals(owner) || local.runner.isComplete()) {
            return;
        }
        local.resumedFrom = "";
        if (standing == Standing.HOLDER) {
            context.metrics().count(Event.GIVEN_BACK);
            RequestRecord record = localRequests.release(local);
            // lets the owner choose a copy holder again and send it the whole request
            copySender.drop(owner, local.requestId());
            log(new Copy(record, owner), Cause.HOLDER_LOST, Result.GIVEN_BACK);
        }
    }

    /** Releases a request that a peer handed over and that another entry has now. */
    void withdraw(LocalRequest local, String sender) {
        if (local.isActive() && local.handedOverBy.equals(sender)) {
            log(
                    new Copy(localRequests.release(local), sender),
                    Cause.HANDED_OVER,
                    Result.TAKEN_BACK);
        }
    }

    /** Returns the row of a request; empty if there is none or it forbids this data centre. */
    Optional<Row> allowedRow(RequestRecord request) {
        return context.policies()
                .table()
                .row(new RowKey(request.organisation(), request.model()))
                .filter(row -> row.allows(context.self().dataCentre()));
    }

    private Optional<GenerationRunner> resume(Copy copy, Cause cause) {
        RequestRecord request = copy.request();
        Optional<Row> row = allowedRow(request);
        if (row.isEmpty()) {
            log(copy, cause, Result.ROW_FORBIDS);
            return Optional.empty();
        }
        boolean mayRun = RequestIds.isRepeatable(request.requestId()) && row.get().repeatable();
        Row effective = mayRun ? row.get() : row.get().notRepeatable();
        // an entry that hands over is about to end and a lost one may be: neither can hold the copy
        String copyHolder =
                mayRun ? peerSelector.choose(request, "", Set.of(copy.owner())).orElse("") : "";
        Optional<AddResult> result =
                localRequests.add(
                        request,
                        effective,
                        copyHolder,
                        existing -> existing.isActive() || existing.runner.isComplete());
        if (result.isEmpty()) {
            log(copy, cause, Result.STOPPING);
            return Optional.empty();
        }
        LocalRequest local = result.get().request();
        if (!result.get().added()) {
            if (cause == Cause.HANDED_OVER) {
                recordOrigin(local, copy, cause);
            }
            log(copy, cause, Result.ALREADY_HERE);
            return Optional.of(local.runner);
        }
        context.metrics().count(Event.ADOPTED);
        recordOrigin(local, copy, cause);
        if (!copyHolder.isEmpty()) {
            context.links().send(copyHolder, new RecordPut(request));
        }
        local.runner.resume();
        boolean goesOn = mayRun || request.complete();
        log(copy, cause, goesOn ? Result.GOES_ON : Result.MAY_HAVE_RUN);
        return Optional.of(local.runner);
    }

    private static void recordOrigin(LocalRequest local, Copy copy, Cause cause) {
        boolean handedOver = cause == Cause.HANDED_OVER;
        local.resumedFrom = handedOver ? "" : copy.owner();
        local.handedOverBy = handedOver ? copy.owner() : "";
    }

    private static void log(Copy copy, Cause cause, Result result) {
        RequestRecord request = copy.request();
        int tokens = request.tokens().size();
        RequestMoves.log(
                new RequestMoves.TakeUp(request.requestId(), copy.owner(), cause, tokens, result));
    }
}
