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
package io.trailladder.core.topology;

import java.util.List;
import java.util.Map;

/**
 * The location of a process, and the distances from it.
 *
 * <p>A data centre that the table of regions does not contain counts as one of the own region, so
 * that it is treated as if there were no regions.
 *
 * <pre>{@code
 * Topology here = Topology.of("a1", Map.of("a1", "a", "a2", "a", "b1", "b"));
 * here.distance("b1"); // OTHER_REGION
 * }</pre>
 *
 * @since 0.4
 */
public final class Topology {
    private final String dataCentre;
    private final String region;
    private final Map<String, String> regions;
    private final List<String> otherRegions;

    private Topology(String dataCentre, Map<String, String> regions) {
        this.dataCentre = dataCentre;
        this.regions = Map.copyOf(regions);
        this.region = regions.getOrDefault(dataCentre, "");
        this.otherRegions =
                regions.values().stream()
                        .distinct()
                        .filter(name -> !name.equals(region))
                        .sorted()
                        .toList();
    }

    /**
     * Creates the topology of a data centre where all others are in its region.
     *
     * @param dataCentre the own data centre
     * @return the topology
     */
    public static Topology oneRegion(String dataCentre) {
        return new Topology(dataCentre, Map.of());
    }

    /**
     * Creates the topology of a data centre.
     *
     * @param dataCentre the own data centre
     * @param regions the region of each data centre by the name of the data centre; if it lacks the
     *     own one, all data centres are in one region
     * @return the topology
     */
    public static Topology of(String dataCentre, Map<String, String> regions) {
        return regions.containsKey(dataCentre)
                ? new Topology(dataCentre, regions)
                : oneRegion(dataCentre);
    }

    /**
     * Returns the own data centre.
     *
     * @return its name
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the own region.
     *
     * @return its name; empty if all data centres are in one region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the region of a data centre.
     *
     * @param other the data centre
     * @return the name of its region; that of the own region if the data centre is unknown
     */
    public String region(String other) {
        return otherRegions.isEmpty() ? region : regions.getOrDefault(other, region);
    }

    /**
     * Returns the other regions.
     *
     * @return their names in sorted order; empty if all data centres are in one region
     */
    public List<String> otherRegions() {
        return otherRegions;
    }

    /**
     * Returns whether there is only the own region.
     *
     * @return true if all data centres are in one region
     */
    public boolean isOneRegion() {
        return otherRegions.isEmpty();
    }

    /**
     * Returns whether a data centre is the own one.
     *
     * @param other the data centre
     * @return true if it is the own one
     */
    public boolean isLocal(String other) {
        return dataCentre.equals(other);
    }

    /**
     * Returns whether a data centre is in the own region.
     *
     * @param other the data centre
     * @return true if it is, also for the own data centre
     */
    public boolean isOwnRegion(String other) {
        return otherRegions.isEmpty() || region(other).equals(region);
    }

    /**
     * Returns the distance to a data centre.
     *
     * @param other the data centre
     * @return its class of distance
     */
    public Distance distance(String other) {
        if (isLocal(other)) {
            return Distance.SAME_DATA_CENTRE;
        }
        return isOwnRegion(other) ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }
}
