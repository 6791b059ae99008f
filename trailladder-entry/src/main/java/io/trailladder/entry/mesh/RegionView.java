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
package io.trailladder.entry.mesh;

import io.trailladder.core.membership.LinkPlanner;
import io.trailladder.core.topology.Topology;
import io.trailladder.wire.NodeMessage.NodeHello;

/**
 * The regions of peers, as seen by one process where there are several regions.
 *
 * @since 0.4
 */
public final class RegionView {
    private final NodeHello self;
    private final Topology topology;
    private final LinkPlanner planner;

    /**
     * Creates a view.
     *
     * @param self this process
     * @param topology determines the regions
     * @param planner knows the hubs
     */
    public RegionView(NodeHello self, Topology topology, LinkPlanner planner) {
        this.self = self;
        this.topology = topology;
        this.planner = planner;
    }

    /**
     * Returns this process as announced to its peers.
     *
     * @return the hello message it sends to them
     */
    public NodeHello self() {
        return self;
    }

    /**
     * Returns whether a peer is in another region.
     *
     * @param peer the peer
     * @return true if it does
     */
    public boolean isOtherRegion(NodeHello peer) {
        return !topology.isOwnRegion(peer.dataCentre());
    }

    /**
     * Returns a peer's region.
     *
     * @param peer the peer
     * @return the region's name
     */
    public String region(NodeHello peer) {
        return regionOf(peer.dataCentre());
    }

    /**
     * Returns a data centre's region.
     *
     * @param dataCentre the data centre
     * @return the region's name
     */
    public String regionOf(String dataCentre) {
        return topology.region(dataCentre);
    }

    /**
     * Returns the rank of a process in the order in which hubs become the bridge of their region.
     *
     * @param peer the process, which may be this one
     * @return 0 for the first; higher than any hub's for a process that is not a hub
     */
    public int rank(NodeHello peer) {
        return planner.bridgeRank(peer.name(), peer.dataCentre());
    }

    /**
     * Returns whether a data centre is in the region of this process.
     *
     * @param dataCentre the data centre
     * @return true if it is
     */
    public boolean isOwnRegion(String dataCentre) {
        return topology.isOwnRegion(dataCentre);
    }
}
