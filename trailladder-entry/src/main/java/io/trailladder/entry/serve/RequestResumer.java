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
 * Goes on with requests of other entries: that hand them over, that were lost, or that a caller
 * does not find; and gives them back to an entry that works on them still.
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
            LocalRequests held,
            CopyStore copies,
            CopySender copySender,
            PeerSelector keepers,
            HandOvers handOvers) {
        this.context = context;
        this.localRequests = held;
        this.copies = copies;
        this.copySender = copySender;
        this.peerSelector = keepers;
        this.handOvers = handOvers;
    }

    /** Goes on with a request whose copy is here, because a caller asks for it. */
    Optional<GenerationRunner> resumeForCaller(String requestId, String organisation) {
        if (localRequests.isClosed()) {
            copies.find(requestId, organisation)
                    .ifPresent(copy -> log(copy, Cause.ASKED_FOR, Result.STOPPING));
            return Optional.empty();
        }
        return copies.take(requestId, organisation).flatMap(copy -> resume(copy, Cause.ASKED_FOR));
    }

    /** Goes on with a request of this entry whose callers had left, because one is back. */
    Optional<GenerationRunner> resumeAbandoned(GenerationRunner abandoned) {
        return resume(new Copy(abandoned.record(), context.self().id()), Cause.ASKED_FOR);
    }

    /** Goes on with the unfinished requests of a lost peer. */
    void peerLost(String peer) {
        if (localRequests.isClosed()) {
            copies.unfinishedOf(peer)
                    .forEach(copy -> log(copy, Cause.HOLDER_LOST, Result.STOPPING));
        } else {
            copies.takeUnfinishedOf(peer).forEach(copy -> resume(copy, Cause.HOLDER_LOST));
        }
    }

    /** Goes on with a request that a peer hands over. */
    void acceptHandOver(String from, RequestRecord request) {
        Copy offered = new Copy(request, from);
        if (localRequests.isClosed()) {
            log(offered, Cause.HANDED_OVER, Result.STOPPING);
            refusedHandOvers.put(request.requestId(), offered);
            context.timer().schedule(() -> passOn(offered), PASS_ON_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        copies.drop(request.requestId());
        resume(offered, Cause.HANDED_OVER);
    }

    /** Hands a refused request over to another entry unless its sender does so itself. */
    private void passOn(Copy offered) {
        RequestRecord request = offered.request();
        if (refusedHandOvers.remove(request.requestId(), offered)) {
            handOvers.offer(request, "", -1, () -> {});
        }
    }

    /**
     * Is told that a peer asks for a request: it sees a refusal and chooses another heir itself.
     */
    void findReceived(String peer, RecordFind find) {
        refusedHandOvers.computeIfPresent(
                find.requestId(), (id, copy) -> copy.owner().equals(peer) ? null : copy);
    }

    /** Gives a request back if the entry that it was taken up from says that it works on it. */
    void ownerAnswered(LocalRequest h, String owner, Standing standing) {
        if (!h.resumedFrom.equals(owner) || h.runner.isComplete()) {
            return;
        }
        h.resumedFrom = "";
        if (standing == Standing.HOLDER) {
            context.metrics().count(Event.GIVEN_BACK);
            RequestRecord record = localRequests.release(h);
            // has the owner send its copy anew
            copySender.drop(owner, h.requestId());
            log(new Copy(record, owner), Cause.HOLDER_LOST, Result.GIVEN_BACK);
        }
    }

    /** Gives a request up that a peer had handed over and that another entry has now. */
    void withdraw(LocalRequest h, String by) {
        if (h.isActive() && h.handedOverBy.equals(by)) {
            log(new Copy(localRequests.release(h), by), Cause.HANDED_OVER, Result.TAKEN_BACK);
        }
    }

    /** Finds the row of a request that may be handled here. */
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
        // who hands over is about to end, and who was lost may be
        String keeper = mayRun ? peerSelector.choose(request, "", Set.of(copy.owner())).orElse("") : "";
        Optional<AddResult> holding =
                localRequests.add(
                        request,
                        effective,
                        keeper,
                        known -> known.isActive() || known.runner.isComplete());
        if (holding.isEmpty()) {
            log(copy, cause, Result.STOPPING);
            return Optional.empty();
        }
        LocalRequest mine = holding.get().request();
        if (!holding.get().added()) {
            if (cause == Cause.HANDED_OVER) {
                recordOrigin(mine, copy, cause);
            }
            log(copy, cause, Result.ALREADY_HERE);
            return Optional.of(mine.runner);
        }
        context.metrics().count(Event.ADOPTED);
        recordOrigin(mine, copy, cause);
        if (!keeper.isEmpty()) {
            context.links().send(keeper, new RecordPut(request));
        }
        mine.runner.resume();
        boolean goesOn = mayRun || request.complete();
        log(copy, cause, goesOn ? Result.GOES_ON : Result.MAY_HAVE_RUN);
        return Optional.of(mine.runner);
    }

    private static void recordOrigin(LocalRequest mine, Copy copy, Cause cause) {
        boolean given = cause == Cause.HANDED_OVER;
        mine.resumedFrom = given ? "" : copy.owner();
        mine.handedOverBy = given ? copy.owner() : "";
    }

    private static void log(Copy copy, Cause cause, Result result) {
        RequestRecord request = copy.request();
        int tokens = request.tokens().size();
        RequestMoves.log(
                new RequestMoves.TakeUp(request.requestId(), copy.owner(), cause, tokens, result));
    }
}
