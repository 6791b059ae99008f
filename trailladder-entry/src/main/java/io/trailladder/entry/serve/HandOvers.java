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
 * Hands requests over to other entries. An heir has a request once it says so; one that refuses, is
 * lost or is silent is followed by another.
 *
 * <p>A question for the request follows each hand-over on the same link. Its answer tells whether
 * the heir has taken the request.
 */
final class HandOvers {
    /** How long an heir may take to answer before another one is asked, in milliseconds. */
    static final long ANSWER_TIMEOUT_MILLIS = 100;

    private final ServingContext context;
    private final PeerSelector peerSelector;
    private final Map<String, Offer> openOffers = new HashMap<>();

    /** A request that no heir has taken yet. */
    private static final class Offer {
        final RequestRecord request;
        final String copyHolder;
        final int lastEvent;
        final Runnable onSettled;
        final Set<String> tried = new HashSet<>();
        final Set<String> notResponding = new HashSet<>();
        String successor = "";

        Offer(RequestRecord request, String copyAt, int lastEvent, Runnable onSettled) {
            this.request = request;
            this.copyHolder = copyAt;
            this.lastEvent = lastEvent;
            this.onSettled = onSettled;
        }

        boolean isAwaiting(String peer) {
            return successor.equals(peer) || notResponding.contains(peer);
        }
    }

    HandOvers(ServingContext context, PeerSelector heirs) {
        this.context = context;
        this.peerSelector = heirs;
    }

    /**
     * Offers a request to one heir after another.
     *
     * @param request the request, which this entry works on no more
     * @param copyAt the entry with its copy; empty if there is none
     * @param lastEvent the last event that a caller was sent; below 0 if none was
     * @param onSettled called once an heir has it, or all have refused it
     */
    synchronized void offer(
            RequestRecord request, String copyAt, int lastEvent, Runnable onSettled) {
        Offer offer = new Offer(request, copyAt, lastEvent, onSettled);
        openOffers.put(request.requestId(), offer);
        offerToNext(offer);
    }

    /**
     * Takes a peer's answer.
     *
     * @param peer the peer's name
     * @param answer what it has of a request
     */
    synchronized void findAnswered(String peer, RecordFound answer) {
        Offer offer = openOffers.get(answer.requestId());
        if (offer == null || !offer.isAwaiting(peer)) {
            return;
        }
        boolean wasSilent = offer.notResponding.remove(peer);
        if (answer.standing() == Standing.HOLDER) {
            log(offer, peer, Answer.TAKEN);
            withdrawFromOthers(offer, peer);
            settle(offer);
        } else {
            log(offer, peer, Answer.REFUSED);
            proceed(offer, !wasSilent);
        }
    }

    /**
     * Is told that a peer is lost.
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

    /** Ends all offers: their time is over. */
    synchronized void endAll() {
        for (Offer offer : List.copyOf(openOffers.values())) {
            log(offer, offer.successor, Answer.TIME_OVER);
            settle(offer);
        }
    }

    private void proceed(Offer offer, boolean heirFailed) {
        if (heirFailed) {
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
            String heir = next.get();
            offer.tried.add(heir);
            if (send(offer, heir)) {
                offer.successor = heir;
                context.timer()
                        .schedule(() -> answerTimedOut(offer, heir), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            log(offer, heir, Answer.NOT_SENT);
            next = nextSuccessor(offer);
        }
        proceed(offer, false);
    }

    private Optional<String> nextSuccessor(Offer offer) {
        return peerSelector.choose(offer.request, offer.copyHolder, offer.tried);
    }

    private boolean send(Offer offer, String heir) {
        RequestRecord request = offer.request;
        return context.links().send(heir, new RecordHandOver(request))
                && context.links()
                        .send(heir, new RecordFind(request.requestId(), request.organisation()));
    }

    /** Asks another heir in place of one that does not answer; it may still have the request. */
    private synchronized void answerTimedOut(Offer offer, String heir) {
        boolean awaited = openOffers.get(offer.request.requestId()) == offer && offer.successor.equals(heir);
        if (awaited) {
            log(offer, heir, Answer.SILENT);
            offer.notResponding.add(heir);
            offerToNext(offer);
        }
    }

    /**
     * Has heirs that were silent, and the copy's keeper, give the request up: another one has it.
     */
    private void withdrawFromOthers(Offer offer, String taker) {
        Set<String> others = new HashSet<>(offer.notResponding);
        others.add(offer.successor);
        others.add(offer.copyHolder);
        others.remove(taker);
        others.remove("");
        String id = offer.request.requestId();
        others.forEach(other -> context.links().send(other, new RecordDrop(id)));
    }

    private void settle(Offer offer) {
        openOffers.remove(offer.request.requestId());
        offer.onSettled.run();
    }

    private void log(Offer offer, String heir, Answer answer) {
        boolean taken = answer == Answer.TAKEN;
        context.metrics().count(taken ? Event.HANDED_OVER : Event.HAND_OVER_FAILED);
        Choice choice = heir.equals(offer.copyHolder) ? Choice.HOLDS_COPY : Choice.ALLOWED;
        RequestMoves.log(
                new HandOver(
                        offer.request.requestId(),
                        context.self().id(),
                        heir,
                        heir.isEmpty() ? Choice.NONE : choice,
                        offer.request.tokens().size(),
                        offer.lastEvent,
                        answer));
    }
}
