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

import io.trailladder.core.store.StoreEpoch;
import io.trailladder.core.store.StoreEpoch.Observation;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.CoordinationStore.EpochListener;
import io.trailladder.wire.NodeMessage.UpstreamUpdate;
import java.util.ArrayList;
import java.util.List;

/**
 * Which history of the store is current, as its answers and peers tell. Revisions and leases of
 * another one say nothing of those of the current one.
 *
 * @since 0.5
 */
public final class StoreHistory implements EpochListener {
    private static final String STORE = "store";

    private final GatewayMetrics metrics;
    private final StoreEpoch epoch = new StoreEpoch();
    private final List<Runnable> onReplaced = new ArrayList<>();
    private long ignoredCount;

    /**
     * Creates the state of a store that has named no epoch yet.
     *
     * @param metrics counts changes, and what was passed over
     */
    public StoreHistory(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Has a task run whenever another history becomes the current one, after those of earlier
     * calls.
     *
     * @param task the task
     */
    public void onReplaced(Runnable task) {
        onReplaced.add(task);
    }

    @Override
    public boolean isCurrent(long named) {
        return applyEpoch(STORE, named);
    }

    /**
     * Takes over what a peer tells.
     *
     * @param peer the peer's name
     * @param named the epoch that it names; 0 if none
     */
    void epochReported(String peer, long named) {
        applyEpoch(peer, named);
    }

    /**
     * Returns the current epoch.
     *
     * @return the number; 0 if none was named yet
     */
    public long epoch() {
        return epoch.current();
    }

    /**
     * Tells whether what a peer says of the store can be of the current history.
     *
     * @param peerEpoch the epoch that the peer named last; 0 if none, as older builds do
     * @return false if the peer has named another epoch
     */
    boolean mayMatch(long peerEpoch) {
        return peerEpoch == 0 || epoch() == 0 || peerEpoch == epoch();
    }

    /**
     * Records that a peer told of a change that counts as older than the list here.
     *
     * @param news the change
     * @param ownRevision the list's revision
     */
    void updateIgnored(UpstreamUpdate news, long ownRevision) {
        metrics.count(GatewayMetrics.Event.UPSTREAM_NEWS_PASSED_OVER);
        String what = news.upstream().id() + " at " + news.revision() + ", list at " + ownRevision;
        logSampled("upstream news", what);
    }

    private boolean applyEpoch(String source, long named) {
        long before = epoch.current();
        Observation meaning = epoch.observe(named);
        if (meaning == Observation.NEW) {
            metrics.count(GatewayMetrics.Event.STORE_EPOCH_CHANGED);
            String detail = "from " + before + ", told by " + source;
            DecisionLog.write(new Lifecycle("store epoch", Long.toString(named), detail));
            onReplaced.forEach(Runnable::run);
        } else if (meaning != Observation.CURRENT) {
            metrics.count(GatewayMetrics.Event.STORE_EPOCH_PASSED_OVER);
            logSampled("store epoch", meaning + " epoch " + named + " of " + source);
        }
        // an answer whose epoch is spoiled counts as one that names none
        return meaning != Observation.OLD;
    }

    /** Logs the first, second, fourth, eighth: what is passed over comes in rows. */
    private void logSampled(String what, String detail) {
        ignoredCount++;
        if (Long.bitCount(ignoredCount) == 1) {
            String counted = detail + ", " + ignoredCount + " so far";
            DecisionLog.write(new Lifecycle(what, "passed over", counted));
        }
    }
}
