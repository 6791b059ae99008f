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

import io.trailladder.wire.PeerMessage.RecordDrop;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordPut;
import io.trailladder.wire.PeerMessage.RecordTokens;
import io.trailladder.wire.PeerMessage.TokenPart;
import io.trailladder.wire.RequestRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Has the copies of this entry's requests follow their answers, each at a keeper that lives. */
final class CopySender {
    private final ServingContext context;
    private final PeerSelector peerSelector;

    CopySender(ServingContext context, PeerSelector keepers) {
        this.context = context;
        this.peerSelector = keepers;
    }

    /** Sends the keepers what is new, and asks former owners whether they work on a request. */
    void sendUpdates(Collection<LocalRequest> requests) {
        Map<String, List<TokenPart>> byKeeper = new HashMap<>();
        Set<String> live = new HashSet<>();
        context.links().live().forEach(peer -> live.add(peer.id()));
        for (LocalRequest h : requests) {
            if (live.contains(h.resumedFrom)) {
                queryFormerOwner(h);
            }
            if (needsCopy(h) && ensureCopyHolder(h, live)) {
                addUpdate(h, byKeeper);
            }
        }
        byKeeper.forEach((keeper, parts) -> context.links().send(keeper, new RecordTokens(parts)));
    }

    /** Has a copy given up. */
    void drop(String keeper, String requestId) {
        if (!keeper.isEmpty()) {
            context.links().send(keeper, new RecordDrop(requestId));
        }
    }

    private static boolean needsCopy(LocalRequest h) {
        return !h.copyFinished && !h.runner.isMovedAway() && h.runner.isRepeatable();
    }

    /** Asks the entry that a request was taken up from, once it is back, whether it works on it. */
    private void queryFormerOwner(LocalRequest h) {
        RecordFind find = new RecordFind(h.requestId(), h.runner.organisation());
        context.links().send(h.resumedFrom, find);
    }

    private static void addUpdate(LocalRequest h, Map<String, List<TokenPart>> byKeeper) {
        boolean complete = h.runner.isComplete();
        List<String> news = h.runner.tokensFrom(h.copiedTokens);
        if (news.isEmpty() && !complete) {
            return;
        }
        byKeeper.computeIfAbsent(h.copyHolder, k -> new ArrayList<>())
                .add(new TokenPart(h.requestId(), h.copiedTokens, news, complete));
        h.copiedTokens += news.size();
        h.copyFinished = complete;
    }

    /** Finds another keeper for a request whose keeper is lost, or that never had one. */
    private boolean ensureCopyHolder(LocalRequest h, Set<String> live) {
        if (!live.contains(h.copyHolder)) {
            drop(h.copyHolder, h.requestId());
            h.copyHolder = peerSelector.choose(h.runner.request()).orElse("");
            RequestRecord record = h.runner.record();
            h.copiedTokens = record.tokens().size();
            h.copyFinished = record.complete();
            context.links().send(h.copyHolder, new RecordPut(record));
        }
        return !h.copyHolder.isEmpty();
    }
}
