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
 * What is to be found again of roll-outs after the store's history was replaced: the operators
 * write their orders again, and the leader writes its records again. Until then a list may hold
 * older ones.
 */
final class RolloutRecovery {
    /** How long orders and records may take to be written again, in milliseconds. */
    static final long RECOVERY_MILLIS = 4_000;

    private final Set<String> missingOrders = new HashSet<>();
    private final Map<String, RolloutStatus> lostRecords = new HashMap<>();
    private final Map<String, Long> storedRevision = new HashMap<>();

    /** Of each service the order before the one that is known. */
    private final Map<String, RolloutOrder> earlierOrders = new HashMap<>();

    private long recoveryEndMillis = Long.MIN_VALUE;

    /**
     * Begins to await.
     *
     * @param services those whose orders are known
     * @param recorded records that are about these orders
     * @param nowMillis the time
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

    /** Tells whether an order in a list is one that was replaced, which a copy may still hold. */
    boolean isEarlier(RolloutOrder order) {
        RolloutOrder before = earlierOrders.get(order.service());
        return before != null && before.equalsIgnoringRevision(order);
    }

    /** Tells whether the history was replaced since this process started. */
    boolean hasBegun() {
        return recoveryEndMillis != Long.MIN_VALUE;
    }

    /** Tells whether what a list holds may be older than what is known. */
    boolean isRecovering(long nowMillis) {
        return nowMillis < recoveryEndMillis;
    }

    /** Tells whether a service's order was not found yet. */
    boolean awaitsOrder(String service, long nowMillis) {
        return isRecovering(nowMillis) && missingOrders.contains(service);
    }

    /** Tells whether any order was not found yet. */
    boolean awaitsOrders(long nowMillis) {
        return isRecovering(nowMillis) && !missingOrders.isEmpty();
    }

    /** Records that an order was found. */
    void foundOrder(String service) {
        missingOrders.remove(service);
    }

    /** Returns the services whose orders were not found in time, once. */
    Set<String> takeMissing(long nowMillis) {
        if (isRecovering(nowMillis) || missingOrders.isEmpty()) {
            return Set.of();
        }
        Set<String> missed = Set.copyOf(missingOrders);
        missingOrders.clear();
        return missed;
    }

    /** Returns the record that is to be written again. */
    Optional<RolloutStatus> record(String service) {
        return Optional.ofNullable(lostRecords.get(service));
    }

    /** Records at which revision another record stands in its place. */
    void setStoredRevision(String service, long revision) {
        storedRevision.put(service, revision);
    }

    /** Returns under which revision the record is to be written; 0 if none stands there. */
    long storedRevision(String service) {
        return storedRevision.getOrDefault(service, 0L);
    }

    /** Records that the record is there again, or that another one has taken its place. */
    void foundRecord(String service) {
        lostRecords.remove(service);
        storedRevision.remove(service);
    }
}
