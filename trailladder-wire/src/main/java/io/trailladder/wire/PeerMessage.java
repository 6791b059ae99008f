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
package io.trailladder.wire;

import io.trailladder.core.claim.Claim;
import io.trailladder.core.claim.ClaimKey;
import io.trailladder.core.claim.ClaimReply;
import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.TableChange;
import java.util.List;

/**
 * A message between two processes. Each type has a number in {@link MessageType}.
 *
 * @since 0.1
 */
public interface PeerMessage {
    /**
     * The first message of each side of a link.
     *
     * @param self the sender
     * @param nonce random bytes that the other side must sign with the shared key
     */
    record Hello(EntryInfo self, byte[] nonce) implements PeerMessage {}

    /**
     * Proves that the sender has the shared key.
     *
     * @param proof HMAC-SHA256 of both nonces and the sender's name
     */
    record Proof(byte[] proof) implements PeerMessage {}

    /**
     * State and load of the sender; sent every second, and at once when the table's revision
     * changes.
     *
     * @param tableRevision revision in force at the sender
     * @param rangeMapVersion sum of the epochs in the sender's range map
     * @param draining true if the sender is stopping
     * @param loads predicted wait of a new request in the sender's data centre, by target
     * @param demands recent rates of requests of limited rows at the sender
     */
    record Heartbeat(
            long tableRevision,
            long rangeMapVersion,
            boolean draining,
            List<TargetLoad> loads,
            List<RowDemand> demands)
            implements PeerMessage {}

    /**
     * The predicted wait for one target in a data centre.
     *
     * @param target the model or service
     * @param queueMillis predicted wait before a prompt is computed, in milliseconds
     */
    record TargetLoad(String target, int queueMillis) {}

    /**
     * The rate of requests for a limited row at an entry.
     *
     * @param organisation the row's organisation
     * @param target the row's target
     * @param perSecond recent requests per second
     */
    record RowDemand(String organisation, String target, double perSecond) {}

    /**
     * Lists the entries known to the sender.
     *
     * @param entries the entries
     */
    record Members(List<EntryInfo> entries) implements PeerMessage {}

    /**
     * Carries table changes that the receiver lacks.
     *
     * @param changes in the order of their revisions
     */
    record TableDelta(List<TableChange> changes) implements PeerMessage {}

    /**
     * Carries the whole table, for a receiver that lags too far behind for single changes.
     *
     * @param revision its revision
     * @param changeId id of the change that produced it
     * @param rows its rows
     */
    record TableSnapshot(long revision, String changeId, List<Row> rows) implements PeerMessage {}

    /**
     * Carries the instance list of the sender's data centre.
     *
     * @param listed all upstreams, leaving ones included
     * @param leaving names of those that are leaving
     */
    record UpstreamList(List<LocalUpstream> listed, List<String> leaving) implements PeerMessage {}

    /**
     * Announces that upstreams are leaving.
     *
     * @param notices one per upstream
     */
    record LeavingNotice(List<Notice> notices) implements PeerMessage {}

    /**
     * The notice that one upstream is leaving.
     *
     * @param upstream the upstream's name
     * @param remainingMillis how long it continues to run, in milliseconds
     */
    record Notice(String upstream, long remainingMillis) {}

    /**
     * Requests a peer to serve a request.
     *
     * @param exchange identifies the exchange at the sender
     * @param requestId the request's id
     * @param organisation the caller's organisation
     * @param method HTTP method
     * @param path path with query
     * @param headers headers to be forwarded
     * @param body the body, not interpreted by the sender
     */
    record Forward(
            long exchange,
            String requestId,
            String organisation,
            String method,
            String path,
            List<Header> headers,
            byte[] body)
            implements PeerMessage {}

    /**
     * One HTTP header.
     *
     * @param name its name
     * @param value its value
     */
    record Header(String name, String value) {}

    /**
     * The status and headers of the answer to a {@link Forward}.
     *
     * @param exchange the exchange's id
     * @param status HTTP status
     * @param headers HTTP headers
     */
    record AnswerHead(long exchange, int status, List<Header> headers) implements PeerMessage {}

    /**
     * Carries a part of the body of an answer.
     *
     * @param exchange the exchange's id
     * @param sequence number of the part, from 0
     * @param bytes the part
     */
    record AnswerBody(long exchange, int sequence, byte[] bytes) implements PeerMessage {}

    /**
     * Ends an answer.
     *
     * @param exchange the exchange's id
     * @param parts number of its parts
     * @param whole false if the answer is incomplete
     */
    record AnswerEnd(long exchange, int parts, boolean whole) implements PeerMessage {}

    /**
     * Cancels a {@link Forward} because its caller has disconnected.
     *
     * @param exchange the exchange's id
     */
    record AnswerCancel(long exchange) implements PeerMessage {}

    /**
     * Requests a peer to keep a copy of an accepted request.
     *
     * @param request the request
     */
    record RecordPut(RequestRecord request) implements PeerMessage {}

    /**
     * Confirms a {@link RecordPut}.
     *
     * @param requestId the request's id
     */
    record RecordKept(String requestId) implements PeerMessage {}

    /**
     * Adds tokens to the copies of several requests.
     *
     * @param parts one per request
     */
    record RecordTokens(List<TokenPart> parts) implements PeerMessage {}

    /**
     * New tokens of one answer.
     *
     * @param requestId the request's id
     * @param from position of the first token
     * @param tokens the tokens
     * @param complete true if the answer is complete with them
     */
    record TokenPart(String requestId, int from, List<String> tokens, boolean complete) {}

    /**
     * Drops a copy because the caller has received the final answer.
     *
     * @param requestId the request's id
     */
    record RecordDrop(String requestId) implements PeerMessage {}

    /**
     * Hands a request over to the receiver, which resumes it.
     *
     * @param request the request
     */
    record RecordHandOver(RequestRecord request) implements PeerMessage {}

    /**
     * Asks whether the receiver has a request.
     *
     * @param requestId the request's id
     * @param organisation the organisation of the caller
     */
    record RecordFind(String requestId, String organisation) implements PeerMessage {}

    /**
     * Answers a {@link RecordFind}.
     *
     * @param requestId the request's id
     * @param standing what the sender has of the request
     */
    record RecordFound(String requestId, Standing standing) implements PeerMessage {}

    /** What an entry has of a request. */
    enum Standing {
        /** Nothing. */
        NONE,
        /** A copy; another entry serves the request. */
        COPY,
        /** The request itself, in progress or with its complete answer. */
        HOLDER
    }

    /**
     * Requests a claim from the owner of the key's range.
     *
     * @param claim the claim
     */
    record ClaimRequest(Claim claim) implements PeerMessage {}

    /**
     * Answers a {@link ClaimRequest}.
     *
     * @param requestId the request's id
     * @param reply the answer
     */
    record ClaimAnswer(String requestId, ClaimReply reply) implements PeerMessage {}

    /**
     * Requests the backup to keep a claim.
     *
     * @param range the range
     * @param epoch the epoch in which the sender owns the range
     * @param claim the claim
     */
    record ClaimCopy(int range, long epoch, Claim claim) implements PeerMessage {}

    /**
     * Answers a {@link ClaimCopy}.
     *
     * @param range the range
     * @param epoch the epoch
     * @param key the claim's key
     * @param requestId the claim's request
     * @param kept true if the backup has stored the claim
     */
    record ClaimCopied(int range, long epoch, ClaimKey key, String requestId, boolean kept)
            implements PeerMessage {}

    /**
     * Sends the backup all claims of a range.
     *
     * @param range the range
     * @param epoch the epoch
     * @param claims the claims
     */
    record ClaimAll(int range, long epoch, List<Claim> claims) implements PeerMessage {}

    /**
     * Confirms a {@link ClaimAll}.
     *
     * @param range the range
     * @param epoch the epoch
     */
    record ClaimAllKept(int range, long epoch) implements PeerMessage {}

    /**
     * Releases a claim that has certainly not been used.
     *
     * @param key the claim's key
     * @param requestId the claim's request
     */
    record ClaimRelease(ClaimKey key, String requestId) implements PeerMessage {}

    /**
     * Carries a range map that the receiver may lack.
     *
     * @param map the map
     */
    record RangeMapUpdate(RangeMap map) implements PeerMessage {}
}
