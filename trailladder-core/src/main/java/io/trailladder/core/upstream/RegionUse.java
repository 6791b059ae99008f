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
package io.trailladder.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The work under way at a region's upstreams as other regions are told of it: one sum for each
 * service, under a name that no upstream has.
 *
 * @since 0.4
 */
public final class RegionUse {
    private static final char MARK = '@';
    private static final char SEPARATOR = '/';

    private RegionUse() {}

    /**
     * Returns the name under which a region's work of a service is told.
     *
     * @param region the region
     * @param service the service
     * @return a name that no upstream has
     */
    public static String name(String region, String service) {
        return MARK + region + SEPARATOR + service;
    }

    /**
     * Sums work up by service. Upstreams of other regions stay single, since those there must know
     * what is sent to them; what others told of their regions is left out.
     *
     * @param uses work under way at single upstreams
     * @param directory finds an upstream by its name
     * @param region the own region
     * @param inRegion tells whether a data centre is of the own region
     * @return the sums; work at upstreams that are not known any more is left out
     */
    public static List<UpstreamUse> of(
            List<UpstreamUse> uses,
            Function<String, Optional<Upstream>> directory,
            String region,
            Predicate<String> inRegion) {
        Map<String, UpstreamUse> sums = new TreeMap<>();
        List<UpstreamUse> told = new ArrayList<>();
        for (UpstreamUse use : uses) {
            Optional<Upstream> upstream = directory.apply(use.upstream());
            if (upstream.isEmpty()) {
                continue;
            }
            if (inRegion.test(upstream.get().dataCentre())) {
                String name = name(region, upstream.get().service());
                UpstreamUse one = new UpstreamUse(name, use.requests(), use.promptTokens());
                sums.merge(name, one, RegionUse::plus);
            } else {
                told.add(use);
            }
        }
        told.addAll(sums.values());
        return told;
    }

    private static UpstreamUse plus(UpstreamUse one, UpstreamUse other) {
        return new UpstreamUse(
                one.upstream(),
                one.requests() + other.requests(),
                one.promptTokens() + other.promptTokens());
    }
}
