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

import java.util.List;

/**
 * A rule for the requests of one host under one path prefix.
 *
 * @param name the route's name
 * @param host the host, in lower case
 * @param pathPrefix the prefix; begins and ends with a slash
 * @param kind how often its requests may run
 * @param timeoutMillis longest time a request is held, in milliseconds
 * @param objectiveMillis time inside which an answer is in time, in milliseconds
 * @param priority rank; 0 is the most urgent
 * @param shares the services, at least one
 * @param maxAttempts most upstreams that one request is sent to
 * @param anonymous true if its requests need no key
 * @param sticky true if its requests have prompts whose parts are shared
 * @param resumable true if a stream may be resumed at another upstream
 * @since 0.2
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<ServiceShare> shares,
        int maxAttempts,
        boolean anonymous,
        boolean sticky,
        boolean resumable) {
    /** Copies the shares. */
    public Route {
        shares = List.copyOf(shares);
    }

    /**
     * Tells whether a request may run again after it may have run.
     *
     * @return true for safe routes and streams that may be resumed
     */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Tells whether some of its requests go to a service.
     *
     * @param service the service's name
     * @return true if one of its shares names it
     */
    public boolean routesTo(String service) {
        return shares.stream().anyMatch(share -> share.service().equals(service));
    }

    /**
     * Chooses the service of one request by the shares' weights.
     *
     * @param draw a number from 0 (included) to 1 (excluded), the same for requests to be kept
     *     together
     * @return the service's name
     */
    public String service(double draw) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        double left = draw * total;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
