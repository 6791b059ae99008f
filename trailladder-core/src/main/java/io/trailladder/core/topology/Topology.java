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
 * Where a process stands, and how far everything else is from it.
 *
 * <p>A data centre that the table of regions does not name counts as one of the own region: work
 * for it is done as if there were no regions.
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
     * Creates the view from a data centre where all others are of its region.
     *
     * @param dataCentre the own data centre
     * @return the view
     */
    public static Topology oneRegion(String dataCentre) {
        return new Topology(dataCentre, Map.of());
    }

    /**
     * Creates the view from a data centre.
     *
     * @param dataCentre the own data centre
     * @param regions the region of each data centre by its name; if it lacks the own one, all is
     *     one region
     * @return the view
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
     * @return its name; empty if all is one region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the region of a data centre.
     *
     * @param other the data centre
     * @return its region's name, the own region's if the data centre is unknown
     */
    public String region(String other) {
        return otherRegions.isEmpty() ? region : regions.getOrDefault(other, region);
    }

    /**
     * Returns the regions beside the own one.
     *
     * @return their names in a fixed order; none if all is one region
     */
    public List<String> otherRegions() {
        return otherRegions;
    }

    /**
     * Tells whether there is no region beside the own one.
     *
     * @return true if all is one region
     */
    public boolean isOneRegion() {
        return otherRegions.isEmpty();
    }

    /**
     * Tells whether something stands in the own data centre.
     *
     * @param other its data centre
     * @return true if it is the own one
     */
    public boolean isLocal(String other) {
        return dataCentre.equals(other);
    }

    /**
     * Tells whether something stands in the own region.
     *
     * @param other its data centre
     * @return true for the own data centre too
     */
    public boolean isOwnRegion(String other) {
        return otherRegions.isEmpty() || region(other).equals(region);
    }

    /**
     * Returns how far a data centre is.
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
