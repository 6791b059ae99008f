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
package io.trailladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.entry.peer.Peers;
import io.trailladder.entry.serve.IncomingRequest;
import io.trailladder.entry.serve.PeerRelay;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.AnswerBody;
import io.trailladder.wire.PeerMessage.AnswerEnd;
import io.trailladder.wire.PeerMessage.AnswerHead;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Answers of peers that this entry relays. */
class PeerRelayTest {
    private static final Peers REACHES_ALL =
            new Peers() {
                @Override
                public boolean send(String peer, PeerMessage message) {
                    return true;
                }

                @Override
                public List<EntryInfo> live() {
                    return List.of();
                }
            };

    // Guards against the refusal of a peer in the middle of an answer, which then ends as if it
    // were
    // complete.
    @Example
    void refusalAfterTheAnswerHasBegunIsLookedForElsewhereAndNotPassedOn() {
        PeerRelay relay = new PeerRelay(REACHES_ALL);
        List<PeerRelay.LostAnswer> lost = new ArrayList<>();
        relay.onLost(lost::add);
        RecordedAnswer answer = new RecordedAnswer();
        IncomingRequest request =
                new IncomingRequest("o", "GET", "/v1/requests/r1", List.of(), new byte[0], true);
        relay.forward("b", "r1", request, answer, true);
        relay.head(new AnswerHead(1, 404, List.of()));
        relay.body(new AnswerBody(1, 0, "refused".getBytes(StandardCharsets.UTF_8)));
        relay.end(new AnswerEnd(1, 1, true));
        assertEquals("", answer.bytes());
        assertEquals(1, lost.size());
        assertEquals("r1", lost.get(0).requestId());
    }
}
