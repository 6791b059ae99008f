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

import com.fasterxml.jackson.core.JsonGenerator;
import io.trailladder.entry.gateway.DecisionLog;
import io.trailladder.entry.gateway.DecisionLog.Decision;
import java.io.IOException;

/**
 * Decision log records of model requests that move from one entry to another, and of look-ups that
 * find them afterwards.
 *
 * <pre>{@code
 * RequestMoves.log(new RequestMoves.TakeUp(id, peer, Cause.HOLDER_LOST, 57, Result.GOES_ON));
 * }</pre>
 *
 * @since 0.6
 */
final class RequestMoves {
    private RequestMoves() {}

    /** Why an entry was chosen as successor. */
    enum Choice {
        /** It holds the request's copy. */
        HOLDS_COPY,
        /** The request's row allows its data centre. */
        ALLOWED,
        /** No entry was found. */
        NONE
    }

    /** How a successor answered an offer. */
    enum Answer {
        /** The successor works on the request. */
        TAKEN,
        /** The successor reported that it does not work on the request. */
        REFUSED,
        /** The successor did not answer in time; the request is offered to another one. */
        SILENT,
        /** No link to the successor is up. */
        NOT_SENT,
        /** The link to the successor broke before it answered. */
        LINK_LOST,
        /** No answer came before this entry had to end. */
        TIME_OVER,
        /** No entry is left that the request may be offered to. */
        NO_HEIR
    }

    /** Why an entry resumes a request. */
    enum Cause {
        /** The entry that worked on it handed it over. */
        HANDED_OVER,
        /** The entry that worked on it was lost. */
        HOLDER_LOST,
        /** A caller looks it up and no entry works on it. */
        ASKED_FOR
    }

    /** Result of the attempt to resume a request. */
    enum Result {
        /** This entry resumed it. */
        GOES_ON,
        /** This entry works on it already, or has its complete answer. */
        ALREADY_HERE,
        /** This entry has handed its requests over and is about to end. */
        STOPPING,
        /** The table in force here does not allow the request in this data centre. */
        ROW_FORBIDS,
        /** It must run at most once and may have run already. */
        MAY_HAVE_RUN,
        /** The entry that it was resumed from still works on it; it was returned. */
        GIVEN_BACK,
        /** The entry that handed it over found another successor; it was withdrawn here. */
        TAKEN_BACK
    }

    /** Where a request was found. */
    enum Found {
        /** This entry works on the request. */
        HERE,
        /** A peer works on it, or holds its copy. */
        AT_PEER,
        /** This entry held its copy and resumed it. */
        TAKEN_UP,
        /** No entry that answered has it. */
        NOWHERE
    }

    /**
     * A stopping entry offered a request to a successor.
     *
     * @param id ID of the request
     * @param sender the stopping entry
     * @param heir the successor; empty if there is none
     * @param choice why this successor was chosen
     * @param tokens number of tokens that the answer has so far
     * @param lastEvent last event sent to any caller; negative if none was
     * @param answer how the successor answered
     */
    record HandOver(
            String id,
            String sender,
            String heir,
            Choice choice,
            int tokens,
            int lastEvent,
            Answer answer)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("sender", sender);
            json.writeStringField("heir", heir);
            json.writeStringField("choice", choice.name());
            json.writeNumberField("tokens", tokens);
            json.writeNumberField("lastEvent", lastEvent);
            json.writeStringField("answer", answer.name());
        }
    }

    /**
     * This entry was to resume a request.
     *
     * @param id ID of the request
     * @param from the entry that handed it over, or that the copy belongs to
     * @param cause why it was to be resumed
     * @param tokens number of tokens that the answer has so far
     * @param result whether it was resumed, and if not, why
     */
    record TakeUp(String id, String from, Cause cause, int tokens, Result result)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeStringField("from", from);
            json.writeStringField("cause", cause.name());
            json.writeNumberField("tokens", tokens);
            json.writeStringField("result", result.name());
        }
    }

    /**
     * A request was looked up by its ID.
     *
     * @param id the ID
     * @param fromEvent first event that the caller lacks
     * @param forPeer whether a peer relayed the look-up
     * @param found where it was found
     * @param peer the peer where it was found; empty unless it was found at a peer
     * @param tries how often this entry and its peers were searched
     * @param tookMs time since the look-up began, in milliseconds
     */
    record AskedAgain(
            String id,
            int fromEvent,
            boolean forPeer,
            Found found,
            String peer,
            int tries,
            long tookMs)
            implements Decision {
        @Override
        public void write(JsonGenerator json) throws IOException {
            json.writeStringField("id", id);
            json.writeNumberField("fromEvent", fromEvent);
            json.writeBooleanField("forPeer", forPeer);
            json.writeStringField("found", found.name());
            json.writeStringField("peer", peer);
            json.writeNumberField("tries", tries);
            json.writeNumberField("tookMs", tookMs);
        }
    }

    /**
     * Writes a record to the decision log.
     *
     * @param move the record
     */
    static void log(Decision move) {
        DecisionLog.write(move);
    }
}
