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
 * Tells which turns at an upstream's limit are this process's: those of the upstream's region share
 * it, in the order of their names.
 *
 * <p>While more processes are known of than the store lists, the order of names is not known, and
 * each process takes a turn out of so many by its own name. All together then take as many turns as
 * there are, though not one each.
 */
final class SendSlotOrders {
    /** How many processes there are taken to be until the store has told which there are. */
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
     * @param self this process's name
     * @param topology where it is
     * @param members the processes that the store lists; empty if it has told none
     * @param processes how many there are, as far as is known
     * @param nowMillis the time
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
     * Returns which turns at an upstream's limit are this process's.
     *
     * @param upstream the upstream
     * @return its place in the order; none in an order of another region's processes
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
        boolean lists = listed.stream().anyMatch(member -> member.name().equals(self));
        int known = listed.size() + (lists ? 0 : 1);
        if (listed.isEmpty() || known < processes.getAsInt()) {
            int least = listed.isEmpty() ? MIN_ASSUMED_PROCESSES : known;
            int count = Math.max(least, processes.getAsInt());
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
