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
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the settings with which operators control the serving of requests.
 *
 * <pre>{@code
 * Optional<Route> route = policy.route("api.example", "/chat/run");
 * }</pre>
 *
 * @since 0.2
 */
public final class ServingPolicy {
    private final long version;
    private final List<Route> routes;
    private final RouteMatcher matcher;
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, OrganisationSpec> organisations = new HashMap<>();
    private final Map<String, OrganisationSpec> organisationsByKey = new HashMap<>();
    private final RequestBounds bounds;

    /**
     * Creates a version of the policy.
     *
     * @param version the version's number; later versions have higher ones
     * @param routes the routes
     * @param services the services
     * @param organisations the organisations; empty if requests need no keys
     * @param bounds limits of what callers may send
     */
    public ServingPolicy(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            Collection<OrganisationSpec> organisations,
            RequestBounds bounds) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.matcher = new RouteMatcher(routes);
        this.bounds = bounds;
        services.forEach(service -> this.services.put(service.name(), service));
        for (OrganisationSpec organisation : organisations) {
            this.organisations.put(organisation.name(), organisation);
            organisation.keys().forEach(key -> organisationsByKey.put(key, organisation));
        }
    }

    /**
     * Returns the version's number.
     *
     * @return the number
     */
    public long version() {
        return version;
    }

    /**
     * Returns all routes.
     *
     * @return the routes
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns all services.
     *
     * @return the services
     */
    public Collection<ServiceSpec> services() {
        return List.copyOf(services.values());
    }

    /**
     * Returns all organisations.
     *
     * @return the organisations
     */
    public Collection<OrganisationSpec> organisations() {
        return List.copyOf(organisations.values());
    }

    /**
     * Returns the limits of what callers may send.
     *
     * @return the limits
     */
    public RequestBounds bounds() {
        return bounds;
    }

    /**
     * Returns the route of a request.
     *
     * @param host the host that the request names, with or without a port
     * @param path the path without its query, as sent
     * @return the route of that host with the longest prefix that the path starts with; empty if
     *     there is none
     */
    public Optional<Route> route(String host, String path) {
        return matcher.match(host, path);
    }

    /**
     * Returns a service.
     *
     * @param name the service's name
     * @return the service; empty if it is not known
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether requests need a key unless their route is anonymous.
     *
     * @return true if the policy has organisations
     */
    public boolean needsKeys() {
        return !organisations.isEmpty();
    }

    /**
     * Returns the organisation that has a key.
     *
     * @param key the key as the caller sent it
     * @return the organisation; empty if no organisation has the key
     */
    public Optional<OrganisationSpec> organisationOfKey(String key) {
        return Optional.ofNullable(organisationsByKey.get(key));
    }
}
