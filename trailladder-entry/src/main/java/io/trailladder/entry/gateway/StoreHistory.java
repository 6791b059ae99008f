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
 * Tracks which history of the store is current, from the epochs that its answers and peers name.
 * Revisions and leases of one history cannot be compared with those of another.
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
     * Creates the state before any epoch is known.
     *
     * @param metrics counts changes of the epoch and ignored epochs and updates
     */
    public StoreHistory(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Adds a task that runs whenever another history becomes the current one. Tasks run in the
     * order in which they were added.
     *
     * @param task the task
     */
    public void onReplaced(Runnable task) {
        onReplaced.add(task);
    }

    @Override
    public boolean isCurrent(long epochNumber) {
        return applyEpoch(STORE, epochNumber);
    }

    /**
     * Applies the epoch that a peer names.
     *
     * @param peer the peer's name
     * @param epochNumber the epoch; 0 if the peer names none
     */
    void epochReported(String peer, long epochNumber) {
        applyEpoch(peer, epochNumber);
    }

    /**
     * Returns the current epoch.
     *
     * @return the epoch; 0 if none was named yet
     */
    public long epoch() {
        return epoch.current();
    }

    /**
     * Returns whether a peer's statements about the store can belong to the current history.
     *
     * @param peerEpoch the epoch that the peer named last; 0 if none, as with older builds
     * @return false if the peer has named another epoch
     */
    boolean mayMatch(long peerEpoch) {
        return peerEpoch == 0 || epoch() == 0 || peerEpoch == epoch();
    }

    /**
     * Records that a change from a peer was ignored because it counts as older than the list.
     *
     * @param update the change
     * @param ownRevision the list's revision
     */
    void updateIgnored(UpstreamUpdate update, long ownRevision) {
        metrics.count(GatewayMetrics.Event.UPSTREAM_NEWS_PASSED_OVER);
        String detail =
                update.upstream().id() + " at " + update.revision() + ", list at " + ownRevision;
        logSampled("upstream news", detail);
    }

    private boolean applyEpoch(String source, long epochNumber) {
        long before = epoch.current();
        Observation meaning = epoch.observe(epochNumber);
        if (meaning == Observation.NEW) {
            metrics.count(GatewayMetrics.Event.STORE_EPOCH_CHANGED);
            String detail = "from " + before + ", reported by " + source;
            DecisionLog.write(new Lifecycle("store epoch", Long.toString(epochNumber), detail));
            onReplaced.forEach(Runnable::run);
        } else if (meaning != Observation.CURRENT) {
            metrics.count(GatewayMetrics.Event.STORE_EPOCH_PASSED_OVER);
            logSampled("store epoch", meaning + " epoch " + epochNumber + " of " + source);
        }
        // an answer with an invalid epoch counts as one that names none
        return meaning != Observation.OLD;
    }

    /** Logs the first, second, fourth, eighth and so on, since ignored items come in series. */
    private void logSampled(String subject, String detail) {
        ignoredCount++;
        if (Long.bitCount(ignoredCount) == 1) {
            String counted = detail + ", " + ignoredCount + " so far";
            DecisionLog.write(new Lifecycle(subject, "passed over", counted));
        }
    }
}
