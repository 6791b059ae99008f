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
 * Log lines that tell how model requests pass from one entry to another, and where callers find
 * them again.
 *
 * <pre>{@code
 * RequestMoves.log(new RequestMoves.TakeUp(id, peer, Cause.HOLDER_LOST, 57, Result.GOES_ON));
 * }</pre>
 *
 * @since 0.6
 */
final class RequestMoves {
    private RequestMoves() {}

    /** Why an entry was chosen as heir. */
    enum Choice {
        /** It keeps the request's copy. */
        HOLDS_COPY,
        /** The request's row allows its data centre. */
        ALLOWED,
        /** None was found. */
        NONE
    }

    /** How an heir answered. */
    enum Answer {
        /** The heir works on the request. */
        TAKEN,
        /** The heir says that it does not work on the request. */
        REFUSED,
        /** The heir did not answer in time; another one is asked. */
        SILENT,
        /** No link to the heir is up. */
        NOT_SENT,
        /** The link to the heir broke before its answer. */
        LINK_LOST,
        /** No answer came before this entry ends. */
        TIME_OVER,
        /** No other entry may have the request. */
        NO_HEIR
    }

    /** Why an entry takes a request up. */
    enum Cause {
        /** The entry that worked on it hands it over. */
        HANDED_OVER,
        /** The entry that worked on it was lost. */
        HOLDER_LOST,
        /** A caller asks for it and no entry works on it. */
        ASKED_FOR
    }

    /** What became of a request that was to be taken up. */
    enum Result {
        /** It goes on here. */
        GOES_ON,
        /** It is worked on here already. */
        ALREADY_HERE,
        /** This entry has handed its requests over and is about to end. */
        STOPPING,
        /** The table in force here does not allow the request in this data centre. */
        ROW_FORBIDS,
        /** It must run at most once and may have run. */
        MAY_HAVE_RUN,
        /** The entry it was taken up from works on it still and has it back. */
        GIVEN_BACK,
        /** The entry that handed it over found another heir. */
        TAKEN_BACK
    }

    /** Where a caller who asks again was sent. */
    enum Found {
        /** This entry works on the request. */
        HERE,
        /** A peer works on it, or has its copy. */
        AT_PEER,
        /** This entry had its copy and took it up. */
        TAKEN_UP,
        /** No entry that answered has it. */
        NOWHERE
    }

    /**
     * A request was offered to an heir by an entry that stops.
     *
     * @param id the request
     * @param sender the entry that stops
     * @param heir the heir; empty if there is none
     * @param choice why this heir
     * @param tokens how many tokens the request has
     * @param lastEvent the last event that any caller was sent; below 0 if none was
     * @param answer how the heir answered
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
     * A request of another entry was to be gone on with here.
     *
     * @param id the request
     * @param from the entry that handed it over, or whose copy it is
     * @param cause why
     * @param tokens how many tokens it has
     * @param result what became of it
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
     * A request was looked for by its name.
     *
     * @param id the name
     * @param fromEvent the first event that is wanted
     * @param forPeer true if a peer passed the question on
     * @param found where it was found
     * @param peer the peer that it was found at; empty unless found at a peer
     * @param tries how often peers were asked
     * @param tookMs time since it was asked for, in milliseconds
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
     * Writes a line.
     *
     * @param move what it tells
     */
    static void log(Decision move) {
        DecisionLog.write(move);
    }
}
