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

import io.trailladder.core.limit.UnitQueue;
import io.trailladder.core.limit.UnitQueue.Demand;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.mesh.Mesh;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.NodeMessage.NodeHello;
import io.trailladder.wire.NodeMessage.UnitsGrant;
import io.trailladder.wire.NodeMessage.UnitsRequest;
import io.trailladder.wire.NodeMessage.UnitsReturn;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Moves units of organisations' limits between processes, and sets which part of each limit accrues
 * at this one.
 */
final class LimitExchange {
    /** Time after which a leaf counts a request to its hub as unanswered, in milliseconds. */
    private static final long LEAF_REPLY_TIMEOUT_MILLIS = 120;

    /** Time after which a hub counts a request to another one as unanswered, in milliseconds. */
    private static final long HUB_REPLY_TIMEOUT_MILLIS = 50;

    /** Interval at which requests that wait for units are checked, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    /** Time to come back that a process is told that asks the one it supplies, in milliseconds. */
    private static final long CROSSED_WAIT_MILLIS = 50;

    private final LongSupplier nowMillis;
    private final StartupRequestQueue.Timer timer;
    private final Quotas quotas;
    private final LimitSuppliers suppliers;
    private final LimitNeeds needs;
    private final Mesh mesh;
    private final LimitShares shares;
    private final Map<String, String> askedPeers = new HashMap<>();
    private boolean checkScheduled;

    LimitExchange(
            LongSupplier nowMillis,
            StartupRequestQueue.Timer timer,
            Quotas quotas,
            LimitSuppliers suppliers,
            LimitNeeds needs,
            Mesh mesh) {
        this.nowMillis = nowMillis;
        this.timer = timer;
        this.quotas = quotas;
        this.suppliers = suppliers;
        this.needs = needs;
        this.mesh = mesh;
        this.shares = new LimitShares(nowMillis, timer, quotas, suppliers, mesh);
        quotas.suppliers(OrganisationSupplier::new, this::checkSoon);
        quotas.onPolicy(shares::reapply);
    }

    /** Sets the shares of this process, and returns units that it does not need. */
    void tick(LimitShares.Processes processes) {
        long now = nowMillis.getAsLong();
        quotas.log().basis(basis(processes));
        shares.update(processes);
        for (String organisation : quotas.organisations()) {
            returnSurplus(organisation, shares.holdsPool(organisation), now);
        }
        check();
    }

    /** Returns whether units accrue at this process. */
    boolean isAccruing() {
        return shares.isAccruing();
    }

    /** Returns whether units will soon accrue at this process. */
    boolean isAwaited() {
        return shares.isAwaited();
    }

    private static LimitBasis basis(LimitShares.Processes processes) {
        if (!processes.othersKnown()) {
            return LimitBasis.OTHERS_UNKNOWN;
        }
        boolean shared = processes.reporting() > 1 || processes.sharing() == 1;
        return shared ? LimitBasis.SHARED : LimitBasis.ALONE;
    }

    /**
     * Gives what this process does not need to the one that it relies on. Where that needs nothing
     * either, the limit is not used up, and the units are dropped as those above a full bucket.
     */
    private void returnSurplus(String organisation, boolean holdsPool, long nowMillis) {
        Optional<Peer> supplier = suppliers.supplier(organisation);
        boolean needed =
                supplier.filter(peer -> needs.isNeededBy(peer.name(), organisation)).isPresent();
        boolean all = needed || !holdsPool;
        double surplus =
                all
                        ? quotas.takeSurplus(organisation, nowMillis)
                        : quotas.takeExcess(organisation, nowMillis);
        if (surplus > 0 && supplier.isPresent() && (needed || holdsPool)) {
            mesh.send(supplier.get().name(), new UnitsReturn(organisation, surplus));
        }
    }

    /**
     * Returns the organisations for which units of other processes are needed here, or at the
     * process that this one relies on.
     */
    Set<String> needs() {
        Set<String> needed = new HashSet<>(quotas.needs(nowMillis.getAsLong()));
        for (String organisation : quotas.organisations()) {
            if (mesh.isHub() && !needed.contains(organisation)) {
                suppliers
                        .supplier(organisation)
                        .filter(peer -> needs.isNeededBy(peer.name(), organisation))
                        .ifPresent(peer -> needed.add(organisation));
            }
        }
        return needed;
    }

    /** Handles a message about limits. */
    void received(NodeHello from, NodeMessage message) {
        suppliers.heard(from.name());
        if (message instanceof UnitsRequest request) {
            requestReceived(from.name(), request);
        } else if (message instanceof UnitsGrant grant) {
            grantReceived(from.name(), grant);
        } else if (message instanceof UnitsReturn returned) {
            if (isValid(from.name(), returned.units())) {
                quotas.add(returned.organisation(), returned.units(), nowMillis.getAsLong());
            }
        }
    }

    private void requestReceived(String peer, UnitsRequest request) {
        Demand demand = new Demand(request.needed(), request.wanted(), request.refused());
        String organisation = request.organisation();
        boolean valid = isValid(peer, demand.isValid() ? demand.needed() : Double.NaN);
        boolean crossed =
                suppliers.supplier(organisation).filter(s -> s.name().equals(peer)).isPresent();
        if (!valid || crossed || !quotas.isKnown(organisation)) {
            mesh.send(peer, new UnitsGrant(organisation, 0, CROSSED_WAIT_MILLIS));
            return;
        }
        quotas.requestOfPeer(
                organisation, demand, new PeerOutcome(peer, organisation), nowMillis.getAsLong());
        checkSoon();
    }

    private void grantReceived(String peer, UnitsGrant grant) {
        String organisation = grant.organisation();
        if (!isValid(peer, grant.units())) {
            return;
        }
        long now = nowMillis.getAsLong();
        if (askedPeers.remove(organisation, peer)) {
            quotas.answered(organisation, grant.units(), Math.max(0, grant.waitMillis()), now);
        } else {
            quotas.add(organisation, grant.units(), now);
        }
        checkSoon();
    }

    private static boolean isValid(String peer, double units) {
        boolean valid = Double.isFinite(units) && units >= 0;
        if (!valid) {
            DecisionLog.write(new Lifecycle("peer " + peer, "units refused", "" + units));
        }
        return valid;
    }

    /** Checks the requests that wait, and goes on while there are any. */
    private void checkSoon() {
        if (!checkScheduled && quotas.isAnyWaiting()) {
            checkScheduled = true;
            timer.schedule(
                    CHECK_INTERVAL_MILLIS,
                    () -> {
                        checkScheduled = false;
                        check();
                    });
        }
    }

    private void check() {
        long now = nowMillis.getAsLong();
        suppliers.check();
        askedPeers
                .entrySet()
                .removeIf(
                        asked -> {
                            boolean lost = !isSupplier(asked.getValue(), asked.getKey());
                            if (lost) {
                                quotas.supplierLost(asked.getKey());
                            }
                            return lost;
                        });
        quotas.check(now);
        checkSoon();
    }

    private boolean isSupplier(String peer, String organisation) {
        return suppliers.supplier(organisation).filter(s -> s.name().equals(peer)).isPresent();
    }

    /** Asks the process that this one relies on for units of one organisation. */
    private final class OrganisationSupplier implements UnitQueue.Supplier {
        private final String organisation;

        OrganisationSupplier(String organisation) {
            this.organisation = organisation;
        }

        @Override
        public boolean exists() {
            return suppliers.exists(organisation);
        }

        @Override
        public boolean ask(Demand demand) {
            Optional<Peer> supplier = suppliers.supplier(organisation);
            UnitsRequest request =
                    new UnitsRequest(
                            organisation, demand.needed(), demand.wanted(), demand.refused());
            boolean sent = supplier.isPresent() && mesh.send(supplier.get().name(), request);
            if (sent) {
                askedPeers.put(organisation, supplier.get().name());
            }
            return sent;
        }

        @Override
        public long replyTimeoutMillis() {
            return mesh.isHub() ? HUB_REPLY_TIMEOUT_MILLIS : LEAF_REPLY_TIMEOUT_MILLIS;
        }

        @Override
        public void unanswered() {
            String asked = askedPeers.remove(organisation);
            if (asked != null) {
                quotas.log().unanswered(organisation);
                suppliers.unanswered(asked);
            }
        }
    }

    /** Answers a peer that asked for units. */
    private final class PeerOutcome implements UnitQueue.Outcome {
        private final String peer;
        private final String organisation;

        PeerOutcome(String peer, String organisation) {
            this.peer = peer;
            this.organisation = organisation;
        }

        @Override
        public void granted(double units) {
            if (!mesh.send(peer, new UnitsGrant(organisation, units, 0))) {
                quotas.add(organisation, units, nowMillis.getAsLong());
            }
        }

        @Override
        public void refused(long waitMillis) {
            mesh.send(peer, new UnitsGrant(organisation, 0, waitMillis));
        }

        @Override
        public void withdrawn() {
            mesh.send(peer, new UnitsGrant(organisation, 0, CROSSED_WAIT_MILLIS));
        }
    }
}
