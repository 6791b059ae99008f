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
 * Any message between two entries. Each type has its number in {@link MessageType}.
 *
 * @since 0.1
 */
public interface PeerMessage {
    /**
     * Opens a link.
     *
     * @param self who calls, or answers
     * @param nonce random bytes the other side must sign with the shared key
     */
    record Hello(EntryInfo self, byte[] nonce) implements PeerMessage {}

    /**
     * Proves that the sender has the shared key.
     *
     * @param proof HMAC-SHA256 of both nonces and the sender's name
     */
    record Proof(byte[] proof) implements PeerMessage {}

    /**
     * Is sent every second, and at once when the table's revision changes.
     *
     * @param tableRevision revision in force at the sender
     * @param rangeMapVersion sum of the epochs of the sender's range map
     * @param draining true if the sender is stopping
     * @param loads how long a new request would wait in the sender's data centre, by target
     * @param demands requests of limited rows the sender took lately
     */
    record Heartbeat(
            long tableRevision,
            long rangeMapVersion,
            boolean draining,
            List<TargetLoad> loads,
            List<RowDemand> demands)
            implements PeerMessage {}

    /**
     * The wait for one target in a data centre.
     *
     * @param target the model or service
     * @param queueMillis predicted wait before a prompt is computed, in milliseconds
     */
    record TargetLoad(String target, int queueMillis) {}

    /**
     * How much of a limited row an entry was asked for.
     *
     * @param organisation the row's organisation
     * @param target the row's target
     * @param perSecond requests a second, lately
     */
    record RowDemand(String organisation, String target, double perSecond) {}

    /**
     * Names the entries the sender knows.
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
     * Carries the whole table, for a receiver that lags too far.
     *
     * @param revision its revision
     * @param changeId the change that made it
     * @param rows its rows
     */
    record TableSnapshot(long revision, String changeId, List<Row> rows) implements PeerMessage {}

    /**
     * Carries the instance list of the sender's data centre.
     *
     * @param listed upstreams live or leaving
     * @param leaving names of those that are leaving
     */
    record UpstreamList(List<LocalUpstream> listed, List<String> leaving) implements PeerMessage {}

    /**
     * Says that upstreams have begun to leave.
     *
     * @param notices one for each
     */
    record LeavingNotice(List<Notice> notices) implements PeerMessage {}

    /**
     * One notice.
     *
     * @param upstream the upstream's name
     * @param remainingMillis how long it will still run
     */
    record Notice(String upstream, long remainingMillis) {}

    /**
     * Asks a peer to serve a request.
     *
     * @param exchange names this exchange at the sender
     * @param requestId the request's name
     * @param organisation the caller's organisation
     * @param method HTTP method
     * @param path path with query
     * @param headers headers to be passed on
     * @param body the body, which the sender has not read
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
     * Begins the answer to a {@link Forward}.
     *
     * @param exchange the exchange's name
     * @param status HTTP status
     * @param headers HTTP headers
     */
    record AnswerHead(long exchange, int status, List<Header> headers) implements PeerMessage {}

    /**
     * Carries a part of an answer.
     *
     * @param exchange the exchange's name
     * @param sequence number of the part, from 0
     * @param bytes the part
     */
    record AnswerBody(long exchange, int sequence, byte[] bytes) implements PeerMessage {}

    /**
     * Ends an answer.
     *
     * @param exchange the exchange's name
     * @param parts how many parts it had
     * @param whole false if the answer was broken off
     */
    record AnswerEnd(long exchange, int parts, boolean whole) implements PeerMessage {}

    /**
     * Says that the caller of a {@link Forward} is gone.
     *
     * @param exchange the exchange's name
     */
    record AnswerCancel(long exchange) implements PeerMessage {}

    /**
     * Asks a peer to keep a copy of an accepted request.
     *
     * @param request the request
     */
    record RecordPut(RequestRecord request) implements PeerMessage {}

    /**
     * Confirms a {@link RecordPut}.
     *
     * @param requestId the request's name
     */
    record RecordKept(String requestId) implements PeerMessage {}

    /**
     * Adds tokens to the copies of several requests.
     *
     * @param parts one for each request
     */
    record RecordTokens(List<TokenPart> parts) implements PeerMessage {}

    /**
     * The growth of one answer.
     *
     * @param requestId the request's name
     * @param from position of the first token
     * @param tokens the tokens
     * @param complete true if the answer is whole now
     */
    record TokenPart(String requestId, int from, List<String> tokens, boolean complete) {}

    /**
     * Gives a copy up, because the request had its final answer.
     *
     * @param requestId the request's name
     */
    record RecordDrop(String requestId) implements PeerMessage {}

    /**
     * Hands a request over: the receiver is to go on with it.
     *
     * @param request the request
     */
    record RecordHandOver(RequestRecord request) implements PeerMessage {}

    /**
     * Asks who has a request.
     *
     * @param requestId the request's name
     * @param organisation the organisation that asks
     */
    record RecordFind(String requestId, String organisation) implements PeerMessage {}

    /**
     * Answers a {@link RecordFind}.
     *
     * @param requestId the request's name
     * @param standing what the sender has of it
     */
    record RecordFound(String requestId, Standing standing) implements PeerMessage {}

    /** What an entry has of a request. */
    enum Standing {
        /** Nothing. */
        NONE,
        /** A copy; another entry works on it. */
        COPY,
        /** It works on it, or has its whole answer. */
        HOLDER
    }

    /**
     * Asks the owner of a key's range for a claim.
     *
     * @param claim the claim
     */
    record ClaimRequest(Claim claim) implements PeerMessage {}

    /**
     * Answers a {@link ClaimRequest}.
     *
     * @param requestId the request's name
     * @param reply the answer
     */
    record ClaimAnswer(String requestId, ClaimReply reply) implements PeerMessage {}

    /**
     * Asks the backup to keep a claim.
     *
     * @param range the range
     * @param epoch the epoch under which the sender acts
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
     * @param kept true if the backup keeps it
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
     * Gives a claim up that was certainly not used.
     *
     * @param key the claim's key
     * @param requestId the claim's request
     */
    record ClaimRelease(ClaimKey key, String requestId) implements PeerMessage {}

    /**
     * Carries a range map the receiver may lack.
     *
     * @param map the map
     */
    record RangeMapUpdate(RangeMap map) implements PeerMessage {}
}
