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

import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutStatus;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which orders and records of roll-outs are to be found again after the store's history was
 * replaced. Operators write their orders again, and the leader writes its records again; until then
 * a list may contain older ones.
 */
final class RolloutRecovery {
    /** Max. time until orders and records are written again, in milliseconds. */
    static final long RECOVERY_MILLIS = 4_000;

    private final Set<String> missingOrders = new HashSet<>();
    private final Map<String, RolloutStatus> lostRecords = new HashMap<>();
    private final Map<String, Long> storedRevision = new HashMap<>();

    /** The order before the known one, by service. */
    private final Map<String, RolloutOrder> earlierOrders = new HashMap<>();

    private long recoveryEndMillis = Long.MIN_VALUE;

    /**
     * Begins a recovery.
     *
     * @param services the services whose orders are known
     * @param recorded the known records of these orders
     * @param nowMillis the time, in milliseconds
     */
    void begin(Collection<String> services, Collection<RolloutStatus> recorded, long nowMillis) {
        missingOrders.addAll(services);
        recorded.forEach(record -> lostRecords.put(record.service(), record));
        storedRevision.clear();
        recoveryEndMillis = nowMillis + RECOVERY_MILLIS;
    }

    /** Records that an order was replaced by a later one. */
    void replaced(RolloutOrder order) {
        earlierOrders.put(order.service(), order);
    }

    /** Returns whether an order in a list is the replaced one, which a copy may still contain. */
    boolean isEarlier(RolloutOrder order) {
        RolloutOrder before = earlierOrders.get(order.service());
        return before != null && before.equalsIgnoringRevision(order);
    }

    /** Returns whether the history was replaced since this process started. */
    boolean hasBegun() {
        return recoveryEndMillis != Long.MIN_VALUE;
    }

    /** Returns whether the contents of a list may be older than what is known. */
    boolean isRecovering(long nowMillis) {
        return nowMillis < recoveryEndMillis;
    }

    /** Returns whether a service's order was not found yet. */
    boolean awaitsOrder(String service, long nowMillis) {
        return isRecovering(nowMillis) && missingOrders.contains(service);
    }

    /** Returns whether any order was not found yet. */
    boolean awaitsOrders(long nowMillis) {
        return isRecovering(nowMillis) && !missingOrders.isEmpty();
    }

    /** Records that an order was found. */
    void foundOrder(String service) {
        missingOrders.remove(service);
    }

    /** Returns and forgets the services whose orders were not found in time. */
    Set<String> takeMissing(long nowMillis) {
        if (isRecovering(nowMillis) || missingOrders.isEmpty()) {
            return Set.of();
        }
        Set<String> missing = Set.copyOf(missingOrders);
        missingOrders.clear();
        return missing;
    }

    /** Returns a service's record that must be written again; empty if there is none. */
    Optional<RolloutStatus> record(String service) {
        return Optional.ofNullable(lostRecords.get(service));
    }

    /** Records the revision of the record that is currently stored for a service. */
    void setStoredRevision(String service, long revision) {
        storedRevision.put(service, revision);
    }

    /**
     * Returns the revision of the record that is currently stored for a service; 0 if there is
     * none.
     */
    long storedRevision(String service) {
        return storedRevision.getOrDefault(service, 0L);
    }

    /** Records that a service's record was found, or that another one has replaced it. */
    void foundRecord(String service) {
        lostRecords.remove(service);
        storedRevision.remove(service);
    }
}
