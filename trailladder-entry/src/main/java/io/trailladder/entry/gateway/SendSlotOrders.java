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

import io.trailladder.core.membership.GatewayMember;
import io.trailladder.core.topology.Topology;
import io.trailladder.core.upstream.SendSlotOrder;
import io.trailladder.core.upstream.Upstream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Determines which send slots of an upstream's limit belong to this process: the processes of the
 * upstream's region share them, in the order of their names.
 *
 * <p>While more processes are known than the store lists, the order of names is not known, and each
 * process takes one slot out of that many by the hash of its own name. Together they then use as
 * many slots as there are, though a slot may have several processes or none.
 */
final class SendSlotOrders {
    /** Minimum number of processes assumed until the store has listed them. */
    private static final int MIN_ASSUMED_PROCESSES = 10;

    private final String self;
    private final Topology topology;
    private final Supplier<List<GatewayMember>> members;
    private final IntSupplier processes;
    private final LongSupplier nowMillis;
    private final Map<String, SendSlotOrder> byRegion = new HashMap<>();
    private long readMillis = Long.MIN_VALUE / 2;

    /**
     * Creates orders.
     *
     * @param self the name of this process
     * @param topology the location of this process
     * @param members the processes that the store lists; empty if it has not listed any
     * @param processes number of processes, as far as known
     * @param nowMillis the current time, in milliseconds
     */
    SendSlotOrders(
            String self,
            Topology topology,
            Supplier<List<GatewayMember>> members,
            IntSupplier processes,
            LongSupplier nowMillis) {
        this.self = self;
        this.topology = topology;
        this.members = members;
        this.processes = processes;
        this.nowMillis = nowMillis;
    }

    /**
     * Returns which send slots of an upstream's limit belong to this process.
     *
     * @param upstream the upstream
     * @return the position of this process in the order; no part for an upstream of another region
     *     that has processes of its own
     */
    SendSlotOrder of(Upstream upstream) {
        long now = nowMillis.getAsLong();
        if (now - readMillis >= ClusterView.DIGEST_INTERVAL_MILLIS) {
            readMillis = now;
            byRegion.clear();
        }
        return byRegion.computeIfAbsent(topology.region(upstream.dataCentre()), this::read);
    }

    private SendSlotOrder read(String region) {
        List<GatewayMember> listed = members.get();
        boolean selfListed = listed.stream().anyMatch(member -> member.name().equals(self));
        int known = listed.size() + (selfListed ? 0 : 1);
        if (listed.isEmpty() || known < processes.getAsInt()) {
            int min = listed.isEmpty() ? MIN_ASSUMED_PROCESSES : known;
            int count = Math.max(min, processes.getAsInt());
            return new SendSlotOrder(Math.floorMod(self.hashCode(), count), count);
        }
        List<GatewayMember> sharing =
                listed.stream().filter(member -> isIn(member, region)).toList();
        if (sharing.isEmpty()) {
            return order(listed);
        }
        return region.equals(topology.region()) ? order(sharing) : SendSlotOrder.NO_SHARE;
    }

    private boolean isIn(GatewayMember member, String region) {
        return topology.region(member.dataCentre()).equals(region);
    }

    private SendSlotOrder order(List<GatewayMember> sharing) {
        int before = 0;
        int others = 0;
        for (GatewayMember member : sharing) {
            before += member.name().compareTo(self) < 0 ? 1 : 0;
            others += member.name().equals(self) ? 0 : 1;
        }
        return new SendSlotOrder(before, others + 1);
    }
}
