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
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The work under way at a region's upstreams as other regions are told of it: one sum for each
 * service, under a name that no upstream has.
 *
 * @since 0.4
 */
public final class RegionUse {
    /** Begins the names of sums; names of upstreams do not begin so. */
    private static final char SUM_PREFIX = '@';

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
        return SUM_PREFIX + region + SEPARATOR + service;
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

    /**
     * Spreads the sums that another region told over its upstreams in equal parts.
     *
     * @param told what it told
     * @param region its name
     * @param upstreams all upstreams known
     * @param regionOf tells the region of a data centre
     * @return work under way at single upstreams; as many requests as told, where upstreams of the
     *     service are known there
     */
    public static List<UpstreamUse> spread(
            List<UpstreamUse> told,
            String region,
            Collection<Upstream> upstreams,
            UnaryOperator<String> regionOf) {
        Map<String, List<String>> byName = new HashMap<>();
        for (Upstream upstream : upstreams) {
            if (regionOf.apply(upstream.dataCentre()).equals(region)) {
                byName.computeIfAbsent(name(region, upstream.service()), n -> new ArrayList<>())
                        .add(upstream.id());
            }
        }
        List<UpstreamUse> single = new ArrayList<>();
        for (UpstreamUse use : told) {
            if (use.upstream().isEmpty() || use.upstream().charAt(0) != SUM_PREFIX) {
                single.add(use);
                continue;
            }
            List<String> there = byName.getOrDefault(use.upstream(), List.of());
            for (int i = 0; i < there.size(); i++) {
                int requests = part(use.requests(), i, there.size());
                int tokens = part(use.promptTokens(), i, there.size());
                if (requests != 0 || tokens != 0) {
                    single.add(new UpstreamUse(there.get(i), requests, tokens));
                }
            }
        }
        return single;
    }

    /** The parts of a sum differ by one at most, and make it up. */
    private static int part(int sum, int number, int parts) {
        return sum / parts + (number < sum % parts ? 1 : 0);
    }

    private static UpstreamUse plus(UpstreamUse one, UpstreamUse other) {
        return new UpstreamUse(
                one.upstream(),
                one.requests() + other.requests(),
                one.promptTokens() + other.promptTokens());
    }
}
