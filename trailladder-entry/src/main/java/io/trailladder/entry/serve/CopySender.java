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

/** Keeps the copies of this entry's requests up to date, each at a peer that is live. */
final class CopySender {
    private final ServingContext context;
    private final PeerSelector peerSelector;

    CopySender(ServingContext context, PeerSelector peerSelector) {
        this.context = context;
        this.peerSelector = peerSelector;
    }

    /**
     * Sends new tokens to the copy holders, and queries former owners of resumed requests that are
     * live again.
     */
    void sendUpdates(Collection<LocalRequest> requests) {
        Map<String, List<TokenPart>> byCopyHolder = new HashMap<>();
        Set<String> live = new HashSet<>();
        context.links().live().forEach(peer -> live.add(peer.id()));
        for (LocalRequest local : requests) {
            if (live.contains(local.resumedFrom)) {
                queryFormerOwner(local);
            }
            if (needsCopy(local) && ensureCopyHolder(local, live)) {
                addUpdate(local, byCopyHolder);
            }
        }
        byCopyHolder.forEach(
                (copyHolder, parts) -> context.links().send(copyHolder, new RecordTokens(parts)));
    }

    /** Has a peer drop its copy; does nothing if no peer holds one. */
    void drop(String copyHolder, String requestId) {
        if (!copyHolder.isEmpty()) {
            context.links().send(copyHolder, new RecordDrop(requestId));
        }
    }

    private static boolean needsCopy(LocalRequest local) {
        return !local.copyFinished && !local.runner.isMovedAway() && local.runner.isRepeatable();
    }

    /** Queries the entry that a request was resumed from whether it still works on it. */
    private void queryFormerOwner(LocalRequest local) {
        RecordFind find = new RecordFind(local.requestId(), local.runner.organisation());
        context.links().send(local.resumedFrom, find);
    }

    private static void addUpdate(LocalRequest local, Map<String, List<TokenPart>> byCopyHolder) {
        boolean complete = local.runner.isComplete();
        List<String> tokens = local.runner.tokensFrom(local.copiedTokens);
        if (tokens.isEmpty() && !complete) {
            return;
        }
        byCopyHolder
                .computeIfAbsent(local.copyHolder, k -> new ArrayList<>())
                .add(new TokenPart(local.requestId(), local.copiedTokens, tokens, complete));
        local.copiedTokens += tokens.size();
        local.copyFinished = complete;
    }

    /**
     * Chooses a new copy holder if the present one is lost or there is none; returns whether the
     * request has one.
     */
    private boolean ensureCopyHolder(LocalRequest local, Set<String> live) {
        if (!live.contains(local.copyHolder)) {
            drop(local.copyHolder, local.requestId());
            local.copyHolder = peerSelector.choose(local.runner.request()).orElse("");
            RequestRecord record = local.runner.record();
            local.copiedTokens = record.tokens().size();
            local.copyFinished = record.complete();
            context.links().send(local.copyHolder, new RecordPut(record));
        }
        return !local.copyHolder.isEmpty();
    }
}
