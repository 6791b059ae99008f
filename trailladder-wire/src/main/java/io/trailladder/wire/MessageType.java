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

import java.util.HashMap;
import java.util.Map;

/**
 * The type of a message, with its number on the wire. The number of a removed message is never
 * assigned to another one.
 *
 * @since 0.1
 */
public enum MessageType {
    /** {@link PeerMessage.Hello}. */
    HELLO(1, PeerMessage.Hello.class),
    /** {@link PeerMessage.Proof}. */
    PROOF(2, PeerMessage.Proof.class),
    /** {@link PeerMessage.Heartbeat}. */
    HEARTBEAT(3, PeerMessage.Heartbeat.class),
    /** {@link PeerMessage.Members}. */
    MEMBERS(4, PeerMessage.Members.class),
    /** {@link PeerMessage.TableDelta}. */
    TABLE_DELTA(5, PeerMessage.TableDelta.class),
    /** {@link PeerMessage.TableSnapshot}. */
    TABLE_SNAPSHOT(6, PeerMessage.TableSnapshot.class),
    /** {@link PeerMessage.UpstreamList}. */
    UPSTREAM_LIST(7, PeerMessage.UpstreamList.class),
    /** {@link PeerMessage.LeavingNotice}. */
    LEAVING_NOTICE(8, PeerMessage.LeavingNotice.class),
    /** {@link PeerMessage.Forward}. */
    FORWARD(9, PeerMessage.Forward.class),
    /** {@link PeerMessage.AnswerHead}. */
    ANSWER_HEAD(10, PeerMessage.AnswerHead.class),
    /** {@link PeerMessage.AnswerBody}. */
    ANSWER_BODY(11, PeerMessage.AnswerBody.class),
    /** {@link PeerMessage.AnswerEnd}. */
    ANSWER_END(12, PeerMessage.AnswerEnd.class),
    /** {@link PeerMessage.AnswerCancel}. */
    ANSWER_CANCEL(13, PeerMessage.AnswerCancel.class),
    /** {@link PeerMessage.RecordPut}. */
    RECORD_PUT(14, PeerMessage.RecordPut.class),
    /** {@link PeerMessage.RecordKept}. */
    RECORD_KEPT(15, PeerMessage.RecordKept.class),
    /** {@link PeerMessage.RecordTokens}. */
    RECORD_TOKENS(16, PeerMessage.RecordTokens.class),
    /** {@link PeerMessage.RecordDrop}. */
    RECORD_DROP(17, PeerMessage.RecordDrop.class),
    /** {@link PeerMessage.RecordHandOver}. */
    RECORD_HAND_OVER(18, PeerMessage.RecordHandOver.class),
    /** {@link PeerMessage.RecordFind}. */
    RECORD_FIND(19, PeerMessage.RecordFind.class),
    /** {@link PeerMessage.RecordFound}. */
    RECORD_FOUND(20, PeerMessage.RecordFound.class),
    /** {@link PeerMessage.ClaimRequest}. */
    CLAIM_ASK(21, PeerMessage.ClaimRequest.class),
    /** {@link PeerMessage.ClaimAnswer}. */
    CLAIM_ANSWER(22, PeerMessage.ClaimAnswer.class),
    /** {@link PeerMessage.ClaimCopy}. */
    CLAIM_COPY(23, PeerMessage.ClaimCopy.class),
    /** {@link PeerMessage.ClaimCopied}. */
    CLAIM_COPIED(24, PeerMessage.ClaimCopied.class),
    /** {@link PeerMessage.ClaimAll}. */
    CLAIM_ALL(25, PeerMessage.ClaimAll.class),
    /** {@link PeerMessage.ClaimAllKept}. */
    CLAIM_ALL_KEPT(26, PeerMessage.ClaimAllKept.class),
    /** {@link PeerMessage.ClaimRelease}. */
    CLAIM_RELEASE(27, PeerMessage.ClaimRelease.class),
    /** {@link PeerMessage.RangeMapUpdate}. */
    RANGE_MAP_NEWS(28, PeerMessage.RangeMapUpdate.class),
    /** {@link NodeMessage.NodeHello}. */
    NODE_HELLO(29, NodeMessage.NodeHello.class),
    /** {@link NodeMessage.Snapshot}. */
    SNAPSHOT(32, NodeMessage.Snapshot.class),
    /** {@link NodeMessage.UsageHistory}. */
    USAGE_HISTORY(33, NodeMessage.UsageHistory.class),
    /** {@link NodeMessage.NodeDigest}; number 30 was a digest without scope. */
    NODE_DIGEST(34, NodeMessage.NodeDigest.class),
    /** {@link NodeMessage.SnapshotRequest}; number 31 requested everything. */
    SNAPSHOT_ASK(35, NodeMessage.SnapshotRequest.class),
    /** {@link NodeMessage.UpstreamUpdate}. */
    UPSTREAM_NEWS(36, NodeMessage.UpstreamUpdate.class),
    /** {@link NodeMessage.RolloutReport}. */
    ROLLOUT_REPORT(37, NodeMessage.RolloutReport.class),
    /** {@link NodeMessage.RegionDigest}. */
    REGION_DIGEST(38, NodeMessage.RegionDigest.class),
    /** {@link NodeMessage.UnitsRequest}. */
    UNITS_ASK(39, NodeMessage.UnitsRequest.class),
    /** {@link NodeMessage.UnitsGrant}. */
    UNITS_GRANT(40, NodeMessage.UnitsGrant.class),
    /** {@link NodeMessage.UnitsReturn}. */
    UNITS_RETURN(41, NodeMessage.UnitsReturn.class),
    /** {@link NodeMessage.RelayRequest}. */
    RELAY_REQUEST(42, NodeMessage.RelayRequest.class),
    /** {@link NodeMessage.RelayOpened}. */
    RELAY_OPENED(43, NodeMessage.RelayOpened.class),
    /** {@link NodeMessage.RelayRefused}. */
    RELAY_REFUSED(44, NodeMessage.RelayRefused.class),
    /** {@link NodeMessage.RelayData}. */
    RELAY_DATA(45, NodeMessage.RelayData.class),
    /** {@link NodeMessage.RelayEnd}. */
    RELAY_END(46, NodeMessage.RelayEnd.class),
    /** {@link NodeMessage.StreamQuery}. */
    STREAM_QUERY(47, NodeMessage.StreamQuery.class),
    /** {@link NodeMessage.StreamReply}. */
    STREAM_REPLY(48, NodeMessage.StreamReply.class),
    /** {@link NodeMessage.StreamNews}. */
    STREAM_NEWS(49, NodeMessage.StreamNews.class);

    private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();
    private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();

    static {
        for (MessageType type : values()) {
            BY_NUMBER.put(type.number, type);
            BY_CLASS.put(type.messageClass, type);
        }
    }

    private final int number;
    private final Class<? extends PeerMessage> messageClass;

    MessageType(int number, Class<? extends PeerMessage> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    /**
     * Returns the type of a message.
     *
     * @param message the message
     * @return its type
     */
    public static MessageType of(PeerMessage message) {
        return BY_CLASS.get(message.getClass());
    }

    /**
     * Returns the type with a number.
     *
     * @param number the number on the wire
     * @return the type
     * @throws WireException if no type has this number
     */
    public static MessageType of(int number) {
        MessageType type = BY_NUMBER.get(number);
        if (type == null) {
            throw new WireException(
                    "message type " + number + ", expected 1 to " + values().length);
        }
        return type;
    }

    /**
     * Returns the number of this type on the wire.
     *
     * @return from 1 to 255
     */
    public int number() {
        return number;
    }

    /**
     * Returns the class of the messages of this type.
     *
     * @return the record class
     */
    public Class<? extends PeerMessage> messageClass() {
        return messageClass;
    }
}
