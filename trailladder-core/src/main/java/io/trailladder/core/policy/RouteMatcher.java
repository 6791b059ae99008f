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

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: among the routes of its host, the one with the longest prefix. */
final class RouteMatcher {
    private static final char SLASH = '/';

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    RouteMatcher(Collection<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    Optional<Route> match(String host, String path) {
        Map<String, Route> byPrefix = byHost.get(canonical(host));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int slash = path.lastIndexOf(SLASH);
        while (slash >= 0) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = slash == 0 ? -1 : path.lastIndexOf(SLASH, slash - 1);
        }
        return Optional.empty();
    }

    private static String canonical(String host) {
        int port = host.lastIndexOf(':');
        String name = port < 0 ? host : host.substring(0, port);
        return name.toLowerCase(Locale.ROOT);
    }
}
