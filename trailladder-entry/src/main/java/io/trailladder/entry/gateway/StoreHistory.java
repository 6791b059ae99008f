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
import io.trailladder.core.store.StoreEpoch.Named;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.port.CoordinationStore.EpochListener;
import io.trailladder.wire.NodeMessage.UpstreamNews;
import java.util.function.LongSupplier;

/** Which history of the store is current, as its answers and peers tell. */
public final class StoreHistory implements EpochListener {
    /** How often what was passed over is logged, in milliseconds: it comes in rows. */
    private static final long LOG_MILLIS = 1_000;

    private final GatewayMetrics metrics;
    private final LongSupplier nowMillis;
    private final StoreEpoch epoch = new StoreEpoch();
    private long loggedMillis = -LOG_MILLIS;

    /**
     * Creates the state of a store that has named no epoch yet.
     *
     * @param metrics counts changes, and epochs that were passed over
     * @param nowMillis tells the time
     */
    public StoreHistory(GatewayMetrics metrics, LongSupplier nowMillis) {
        this.metrics = metrics;
        this.nowMillis = nowMillis;
    }

    @Override
    public boolean isCurrent(long named) {
        return named("store", named);
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
     * Records that a peer told of a change that counts as older than the list here.
     *
     * @param news the change
     * @param ownRevision the list's revision
     */
    void newsPassedOver(UpstreamNews news, long ownRevision) {
        metrics.count(GatewayMetrics.Event.UPSTREAM_NEWS_PASSED_OVER);
        String what = news.upstream().id() + " at " + news.revision() + ", list at " + ownRevision;
        log("upstream news", what);
    }

    private boolean named(String source, long named) {
        long before = epoch.current();
        Named meaning = epoch.named(named);
        if (meaning == Named.NEW) {
            metrics.count(GatewayMetrics.Event.STORE_EPOCH_CHANGED);
            String detail = "from " + before + ", told by " + source;
            DecisionLog.write(new Lifecycle("store epoch", Long.toString(named), detail));
        } else if (meaning != Named.CURRENT) {
            passedOver(source, named, meaning);
        }
        return meaning == Named.CURRENT || meaning == Named.NEW;
    }

    private void passedOver(String source, long named, Named meaning) {
        metrics.count(GatewayMetrics.Event.STORE_EPOCH_PASSED_OVER);
        log("store epoch", meaning + " epoch " + named + " of " + source);
    }

    private void log(String what, String detail) {
        long now = nowMillis.getAsLong();
        if (now - loggedMillis >= LOG_MILLIS) {
            loggedMillis = now;
            DecisionLog.write(new Lifecycle(what, "passed over", detail));
        }
    }
}
