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

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.trailladder.core.claim.Claim;
import io.trailladder.core.claim.ClaimKey;
import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.TableChange;
import io.trailladder.core.table.TargetKind;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/**
 * Messages between entries are decoded as they were encoded, and invalid bytes cause nothing but a
 * {@link WireException}.
 */
class PeerCodecProperties {
    private static PeerMessage roundTrip(PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        return PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
    }

    @Example
    void messagesComeBackUnchanged() {
        Row row =
                new Row(
                        "banco-sur",
                        "modelo-hipo",
                        TargetKind.MODEL,
                        List.of("baires-a", "baires-b"),
                        10,
                        0,
                        1200,
                        true,
                        "ab".repeat(32));
        TableChange change = new TableChange(3, "c3", "c2", "ana", List.of(row), List.of());
        Claim claim = new Claim(ClaimKey.of("banco-sur", "k"), 9, "e1", "r1", 77);
        List<PeerMessage> messages =
                List.of(
                        new PeerMessage.Heartbeat(
                                7,
                                8,
                                true,
                                List.of(new PeerMessage.TargetLoad("modelo-hipo", 12)),
                                List.of(new PeerMessage.RowDemand("a", "b", 1.5))),
                        new PeerMessage.TableDelta(List.of(change)),
                        new PeerMessage.ClaimCopy(4, 5, claim),
                        new PeerMessage.RangeMapUpdate(RangeMap.fresh(4)),
                        new PeerMessage.RecordFound("r1", PeerMessage.Standing.COPY));
        messages.forEach(message -> assertEquals(message, roundTrip(message)));
        PeerMessage.AnswerBody body = new PeerMessage.AnswerBody(1, 2, new byte[] {1, 2});
        assertArrayEquals(body.bytes(), ((PeerMessage.AnswerBody) roundTrip(body)).bytes());
    }

    @Property(tries = 100_000, seed = "20261202")
    void randomPayloadIsDecodedOrRefused(
            @ForAll byte type, @ForAll @Size(max = 64) byte[] payload) {
        byte[] frame = new byte[payload.length + 2];
        frame[0] = PeerCodec.VERSION;
        frame[1] = type;
        System.arraycopy(payload, 0, frame, 2, payload.length);
        try {
            PeerCodec.decode(frame, 0, frame.length);
        } catch (WireException e) {
            // the only exception that invalid bytes may cause
        }
    }

    @Property(tries = 5_000, seed = "20261202")
    void damagedFrameIsDecodedOrRefused(@ForAll int at, @ForAll byte value) {
        byte[] frame =
                PeerCodec.encode(
                        new PeerMessage.Members(
                                List.of(new EntryInfo("e1", "baires-a", "127.0.0.1:1", "x", "y"))));
        int body = frame.length - PeerCodec.LENGTH_BYTES;
        frame[PeerCodec.LENGTH_BYTES + Math.floorMod(at, body)] = value;
        try {
            PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
        } catch (WireException e) {
            // the only exception that a damaged frame may cause
        }
    }

    @Example
    void lengthBeyondTheLimitIsRefusedBeforeItIsRead() {
        assertThrows(WireException.class, () -> PeerCodec.checkLength(Integer.MAX_VALUE));
        assertThrows(WireException.class, () -> PeerCodec.checkLength(-1));
    }
}
