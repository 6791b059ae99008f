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

import io.trailladder.entry.EntryMetrics.Event;
import io.trailladder.entry.serve.RequestMoves.Answer;
import io.trailladder.entry.serve.RequestMoves.Choice;
import io.trailladder.entry.serve.RequestMoves.HandOver;
import io.trailladder.wire.PeerMessage.RecordDrop;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.Standing;
import io.trailladder.wire.RequestRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Hands requests over to other entries. A successor has a request once it confirms so; if it
 * refuses, is lost or does not answer in time, the request is offered to another one.
 *
 * <p>Each hand-over is followed by a query for the request on the same link. Its answer shows
 * whether the successor has taken the request.
 */
final class HandOvers {
    /**
     * Time to wait for a successor's answer before the request is offered to another one, in
     * milliseconds.
     */
    static final long ANSWER_TIMEOUT_MILLIS = 100;

    private final ServingContext context;
    private final PeerSelector peerSelector;
    private final Map<String, Offer> openOffers = new HashMap<>();

    /** A request that no successor has taken yet. */
    private static final class Offer {
        final RequestRecord request;
        final String copyHolder;
        final int lastEvent;
        final Runnable onSettled;
        final Set<String> tried = new HashSet<>();
        final Set<String> notResponding = new HashSet<>();
        String successor = "";

        Offer(RequestRecord request, String copyHolder, int lastEvent, Runnable onSettled) {
            this.request = request;
            this.copyHolder = copyHolder;
            this.lastEvent = lastEvent;
            this.onSettled = onSettled;
        }

        boolean isAwaiting(String peer) {
            return successor.equals(peer) || notResponding.contains(peer);
        }
    }

    HandOvers(ServingContext context, PeerSelector peerSelector) {
        this.context = context;
        this.peerSelector = peerSelector;
    }

    /**
     * Offers a request to one successor after another until one takes it.
     *
     * @param request the request, which this entry no longer works on
     * @param copyHolder the entry with its copy; empty if there is none
     * @param lastEvent last event sent to a caller; negative if none was
     * @param onSettled called once a successor has it, no successor is left, or {@link #endAll} is
     *     called
     */
    synchronized void offer(
            RequestRecord request, String copyHolder, int lastEvent, Runnable onSettled) {
        Offer offer = new Offer(request, copyHolder, lastEvent, onSettled);
        openOffers.put(request.requestId(), offer);
        offerToNext(offer);
    }

    /**
     * Handles a peer's answer to a query for a request.
     *
     * @param peer the peer's name
     * @param answer what it has of a request
     */
    synchronized void findAnswered(String peer, RecordFound answer) {
        Offer offer = openOffers.get(answer.requestId());
        if (offer == null || !offer.isAwaiting(peer)) {
            return;
        }
        boolean wasNotResponding = offer.notResponding.remove(peer);
        if (answer.standing() == Standing.HOLDER) {
            log(offer, peer, Answer.TAKEN);
            withdrawFromOthers(offer, peer);
            settle(offer);
        } else {
            log(offer, peer, Answer.REFUSED);
            proceed(offer, !wasNotResponding);
        }
    }

    /**
     * Handles the loss of a peer.
     *
     * @param peer the peer's name
     */
    synchronized void peerLost(String peer) {
        for (Offer offer : List.copyOf(openOffers.values())) {
            boolean awaited = offer.successor.equals(peer);
            if (awaited || offer.notResponding.remove(peer)) {
                log(offer, peer, Answer.LINK_LOST);
            }
            proceed(offer, awaited);
        }
    }

    /** Ends all open offers, because this entry is about to end. */
    synchronized void endAll() {
        for (Offer offer : List.copyOf(openOffers.values())) {
            log(offer, offer.successor, Answer.TIME_OVER);
            settle(offer);
        }
    }

    private void proceed(Offer offer, boolean successorFailed) {
        if (successorFailed) {
            offerToNext(offer);
        } else if (offer.successor.isEmpty() && offer.notResponding.isEmpty()) {
            log(offer, "", Answer.NO_HEIR);
            settle(offer);
        }
    }

    private void offerToNext(Offer offer) {
        offer.successor = "";
        Optional<String> next = nextSuccessor(offer);
        while (next.isPresent()) {
            String successor = next.get();
            offer.tried.add(successor);
            if (send(offer, successor)) {
                offer.successor = successor;
                context.timer()
                        .schedule(
                                () -> answerTimedOut(offer, successor),
                                ANSWER_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS);
                return;
            }
            log(offer, successor, Answer.NOT_SENT);
            next = nextSuccessor(offer);
        }
        proceed(offer, false);
    }

    private Optional<String> nextSuccessor(Offer offer) {
        return peerSelector.choose(offer.request, offer.copyHolder, offer.tried);
    }

    private boolean send(Offer offer, String successor) {
        RequestRecord request = offer.request;
        return context.links().send(successor, new RecordHandOver(request))
                && context.links()
                        .send(
                                successor,
                                new RecordFind(request.requestId(), request.organisation()));
    }

    /** Offers a request to the next successor; the one that did not answer may still take it. */
    private synchronized void answerTimedOut(Offer offer, String successor) {
        boolean awaited =
                openOffers.get(offer.request.requestId()) == offer
                        && offer.successor.equals(successor);
        if (awaited) {
            log(offer, successor, Answer.SILENT);
            offer.notResponding.add(successor);
            offerToNext(offer);
        }
    }

    /**
     * Withdraws the request from successors that did not respond and from the copy holder, because
     * another entry has it.
     */
    private void withdrawFromOthers(Offer offer, String owner) {
        Set<String> others = new HashSet<>(offer.notResponding);
        others.add(offer.successor);
        others.add(offer.copyHolder);
        others.remove(owner);
        others.remove("");
        String id = offer.request.requestId();
        others.forEach(other -> context.links().send(other, new RecordDrop(id)));
    }

    private void settle(Offer offer) {
        openOffers.remove(offer.request.requestId());
        offer.onSettled.run();
    }

    private void log(Offer offer, String successor, Answer answer) {
        boolean taken = answer == Answer.TAKEN;
        context.metrics().count(taken ? Event.HANDED_OVER : Event.HAND_OVER_FAILED);
        Choice choice = successor.equals(offer.copyHolder) ? Choice.HOLDS_COPY : Choice.ALLOWED;
        RequestMoves.log(
                new HandOver(
                        offer.request.requestId(),
                        context.self().id(),
                        successor,
                        successor.isEmpty() ? Choice.NONE : choice,
                        offer.request.tokens().size(),
                        offer.lastEvent,
                        answer));
    }
}
