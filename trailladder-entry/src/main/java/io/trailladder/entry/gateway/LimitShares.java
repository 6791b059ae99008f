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

import io.trailladder.core.limit.LimitAccount.Share;
import io.trailladder.entry.mesh.Mesh;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Determines which part of each organisation's limit accrues and may be held at this process. */
final class LimitShares {
    /**
     * How long a process that was not listed before it started lets nothing accrue, in
     * milliseconds: by then it has read the list a second time, and others count it.
     */
    private static final long SETTLE_MILLIS = 1_300;

    /**
     * Part of the pool that the leading hub of an organisation holds. The other hubs hold the rest,
     * so that the loss of one hub does not lose all.
     */
    private static final double LEADING_RATIO = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final LongSupplier nowMillis;
    private final StartupRequestQueue.Timer timer;
    private final Quotas quotas;
    private final LimitSuppliers suppliers;
    private final Mesh mesh;
    private final long startedMillis;
    private long accruesFromMillis = Long.MAX_VALUE;
    private double own;

    /** Whether units that accrued since the start may still have to be added. */
    private boolean accruedPending;

    private Optional<Processes> processes = Optional.empty();

    /**
     * The processes that share limits.
     *
     * @param othersKnown true if the store has listed the processes, or a peer is linked
     * @param reporting number of processes whose figures are known, this one included
     * @param inRegion those of them in the region of this process
     * @param group this process and its leaves
     * @param sharing number of processes that share limits
     */
    record Processes(boolean othersKnown, int reporting, int inRegion, int group, int sharing) {}

    LimitShares(
            LongSupplier nowMillis,
            StartupRequestQueue.Timer timer,
            Quotas quotas,
            LimitSuppliers suppliers,
            Mesh mesh) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.quotas = quotas;
        this.suppliers = suppliers;
        this.mesh = mesh;
        this.startedMillis = nowMillis.getAsLong();
    }

    /** Returns whether the part of this process has been determined. */
    private boolean isKnown() {
        return accruesFromMillis != Long.MAX_VALUE;
    }

    /** Returns whether units accrue at this process, for all limits of the policy. */
    boolean isAccruing() {
        return own > 0;
    }

    /** Returns whether it is determined that units accrue at this process, but not yet now. */
    boolean isAwaited() {
        return isKnown() && !isAccruing();
    }

    /** Returns whether this process holds a part of an organisation's pool. */
    boolean holdsPool(String organisation) {
        return mesh.isHub() || suppliers.holdsPool(organisation);
    }

    /** Sets the shares of all organisations. */
    void update(Processes current) {
        processes = Optional.of(current);
        determineStart(current.othersKnown());
        apply(current);
    }

    /**
     * Sets the shares of all organisations for the processes of the last update. To be called when
     * a policy was applied, so that no request meets a limit without a share.
     */
    void reapply() {
        processes.ifPresent(this::apply);
    }

    private void apply(Processes current) {
        long now = nowMillis.getAsLong();
        own = now >= accruesFromMillis ? 1.0 / current.sharing() : 0;
        if (own > 0 && accruedPending) {
            addAccruedSinceStart(current.sharing(), now);
        }
        for (String organisation : quotas.organisations()) {
            double pooled = 0;
            if (holdsPool(organisation)) {
                int led = suppliers.holdsPool(organisation) ? current.inRegion() : 0;
                pooled = own * (LEADING_RATIO * led + (1 - LEADING_RATIO) * current.group());
            }
            double relying = suppliers.exists(organisation) ? 0 : own * current.reporting();
            quotas.share(organisation, new Share(own, pooled, relying), now);
        }
    }

    /**
     * Determines from when units accrue at this process. If it was listed before it started, the
     * others have left it its part since then.
     */
    private void determineStart(boolean othersKnown) {
        if (!othersKnown || isKnown()) {
            return;
        }
        boolean listed = mesh.wasListedAtStart();
        long now = nowMillis.getAsLong();
        accruesFromMillis = now + (listed ? 0 : SETTLE_MILLIS);
        accruedPending = listed;
        if (!listed) {
            timer.schedule(SETTLE_MILLIS, this::reapply);
        }
    }

    /** Adds what accrued here since the start, once the limits are known. */
    private void addAccruedSinceStart(int sharing, long now) {
        double seconds = Math.min(SETTLE_MILLIS, now - startedMillis) / MILLIS_PER_SECOND;
        for (String organisation : quotas.organisations()) {
            quotas.add(organisation, quotas.evenPart(organisation, sharing) * seconds, now);
        }
        accruedPending = quotas.organisations().isEmpty();
    }
}
