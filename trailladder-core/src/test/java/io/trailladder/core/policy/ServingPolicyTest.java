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
package io.trailladder.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.Example;

/** Routes are looked up by host and longest prefix, organisations by key. */
class ServingPolicyTest {
    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.SAFE,
                600,
                100,
                0,
                List.of(shares),
                2,
                false,
                false,
                false);
    }

    private static ServingPolicy policy(Route... routes) {
        return new ServingPolicy(3, List.of(routes), List.of(), List.of(), RequestBounds.DEFAULTS);
    }

    @Example
    void longestPrefixOfTheHostWins() {
        ServingPolicy policy =
                policy(
                        route("short", "a.example", "/x/", new ServiceShare("s", 1)),
                        route("long", "a.example", "/x/y/", new ServiceShare("s", 1)),
                        route("other", "b.example", "/x/y/z/", new ServiceShare("s", 1)));
        assertEquals("long", policy.route("a.example", "/x/y/z/1").orElseThrow().name());
        assertEquals("short", policy.route("A.example:8080", "/x/z").orElseThrow().name());
        assertEquals("other", policy.route("b.example", "/x/y/z/").orElseThrow().name());
    }

    @Example
    void prefixEndsAtASlash() {
        ServingPolicy policy = policy(route("r", "a.example", "/x/", new ServiceShare("s", 1)));
        assertTrue(policy.route("a.example", "/x").isEmpty());
        assertTrue(policy.route("a.example", "/xy/").isEmpty());
        assertTrue(policy.route("c.example", "/x/").isEmpty());
    }

    @Example
    void sharesSplitByWeight() {
        Route split =
                route(
                        "r",
                        "a.example",
                        "/",
                        new ServiceShare("heavy", 90),
                        new ServiceShare("light", 10));
        assertEquals("heavy", split.service(0));
        assertEquals("heavy", split.service(0.899));
        assertEquals("light", split.service(0.9));
        assertEquals("light", split.service(0.999));
    }

    @Example
    void droppedKeyIsUnknown() {
        OrganisationSpec organisation =
                new OrganisationSpec("t", List.of("k1"), OptionalInt.empty(), RateSpec.UNLIMITED);
        ServingPolicy policy =
                new ServingPolicy(
                        4, List.of(), List.of(), List.of(organisation), RequestBounds.DEFAULTS);
        assertTrue(policy.needsKeys());
        assertEquals("t", policy.organisationOfKey("k1").orElseThrow().name());
        assertTrue(policy.organisationOfKey("k2").isEmpty());
    }
}
