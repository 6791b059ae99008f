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
package io.trailladder.entry.gateway;

import io.trailladder.wire.NodeMessage.OrganisationUse;
import java.util.List;

/**
 * Takes over what peers tell of their use of organisations' limits, and how much of each limit this
 * process may count on.
 */
final class LimitExchange {
    /**
     * Part of a limit that a restarted process uses which knows of no other: any of the others may
     * use the rest.
     */
    private static final double UNKNOWN_OTHERS_SHARE = 0.1;

    /**
     * How long a leaf that hears nobody any more takes the others to go on as they did, in
     * milliseconds: a leaf finds another hub in 1.2 s of silence, 0.4 s until it looks, and at most
     * 1 s to connect. It saves callers within their limits from being refused meanwhile.
     */
    static final long HUB_CHANGE_MILLIS = 3_000;

    /** How long others must have been heard before, in milliseconds: until their use is known. */
    static final long MIN_KNOWN_MILLIS = 4_000;

    private final Quotas quotas;
    private final boolean restarted;
    private long othersKnownSinceMillis = Long.MAX_VALUE;
    private long othersKnownMillis;

    /**
     * Creates an exchange.
     *
     * @param quotas the organisations' limits
     * @param restarted true if other processes may have served before this one started
     */
    LimitExchange(Quotas quotas, boolean restarted) {
        this.quotas = quotas;
        this.restarted = restarted;
    }

    /**
     * Takes over the use that a peer's digest tells.
     *
     * @param peer the peer, which has taken the digest over
     * @param uses its use
     * @param nowMillis the time
     */
    void received(Peer peer, List<OrganisationUse> uses, long nowMillis) {
        if (peer.startCounting()) {
            quotas.resetIncarnation(peer.incarnationName());
        }
        if (peer.isLeaf()) {
            quotas.recordLeafUse(peer.incarnationName(), uses, nowMillis);
        } else {
            quotas.recordPeerUse(peer.incarnationName(), uses, nowMillis);
        }
    }

    /**
     * Takes over the use that another region tells.
     *
     * @param peer the process that tells for it, which has taken the digest over
     * @param uses the region's use
     * @param nowMillis the time
     */
    void receivedFromRegion(Peer peer, List<OrganisationUse> uses, long nowMillis) {
        if (peer.startCounting()) {
            quotas.resetIncarnation(peer.incarnationName());
        }
        quotas.recordRegionUse(peer.incarnationName(), uses, nowMillis);
    }

    /**
     * Sets which part of the limits this process and those it hears may use.
     *
     * @param othersKnown true if the store has told which processes there are, or a peer is heard
     * @param leaf true if it relies on a hub, so that hearing nobody may only mean a change of hubs
     * @param heard processes whose figures are known, this one included
     * @param sharing processes that share limits
     * @param nowMillis the time
     */
    void share(boolean othersKnown, boolean leaf, int heard, int sharing, long nowMillis) {
        double part = Math.min(1.0, heard / (double) sharing);
        if (restarted && !othersKnown) {
            quotas.sharedPart(UNKNOWN_OTHERS_SHARE, nowMillis);
        } else if (leaf && heard == 1 && sharing > 1 && changesHub(nowMillis)) {
            quotas.assumeOthersContinue(part, nowMillis);
        } else {
            if (heard > 1) {
                quotas.othersReceivedAgain(nowMillis);
            }
            quotas.sharedPart(part, nowMillis);
            recordOthers(heard, nowMillis);
        }
    }

    private boolean changesHub(long nowMillis) {
        boolean known = othersKnownMillis - othersKnownSinceMillis >= MIN_KNOWN_MILLIS;
        return known && nowMillis - othersKnownMillis < HUB_CHANGE_MILLIS;
    }

    private void recordOthers(int heard, long nowMillis) {
        if (heard == 1) {
            othersKnownSinceMillis = Long.MAX_VALUE;
            return;
        }
        othersKnownSinceMillis = Math.min(othersKnownSinceMillis, nowMillis);
        othersKnownMillis = nowMillis;
    }
}
