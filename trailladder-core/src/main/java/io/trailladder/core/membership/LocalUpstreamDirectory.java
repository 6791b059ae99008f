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
package io.trailladder.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Merges the instance list, which lags, with notices, which do not.
 *
 * <p>Leaving is sticky: instance names are never used again, so a late list cannot bring an
 * upstream back. A list only adds upstreams and takes away those it no longer has.
 *
 * @since 0.1
 */
public final class LocalUpstreamDirectory {
    private static final int MAX_LEAVING_NAMES = 20_000;

    private final Map<String, LocalUpstream> upstreams = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private long listVersion;

    /**
     * Takes over a copy of the instance list.
     *
     * @param listed the upstreams the list calls live or leaving
     * @param listedLeaving the names of those it calls leaving
     * @return the upstreams that are newly leaving
     */
    public List<LocalUpstream> listed(
            Collection<LocalUpstream> listed, Collection<String> listedLeaving) {
        Map<String, LocalUpstream> next = new HashMap<>();
        listed.forEach(upstream -> next.put(upstream.id(), upstream));
        if (!next.equals(upstreams)) {
            upstreams.clear();
            upstreams.putAll(next);
            listVersion++;
        }
        List<LocalUpstream> newlyLeaving = new ArrayList<>();
        listedLeaving.forEach(id -> leavingNoticed(id).ifPresent(newlyLeaving::add));
        removeOldNotices();
        return newlyLeaving;
    }

    /**
     * Records that an upstream has begun to leave.
     *
     * @param id the upstream's name, known or not yet known
     * @return the upstream if this is news and the upstream is known
     */
    public Optional<LocalUpstream> leavingNoticed(String id) {
        if (!leaving.add(id)) {
            return Optional.empty();
        }
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns what is known of one upstream.
     *
     * @param id the upstream's name
     * @return its state, if it is listed
     */
    public Optional<UpstreamState> state(String id) {
        return Optional.ofNullable(upstreams.get(id)).map(this::stateOf);
    }

    /**
     * Returns all listed upstreams.
     *
     * @return their states, in no order
     */
    public List<UpstreamState> states() {
        return upstreams.values().stream().map(this::stateOf).toList();
    }

    /**
     * Returns the names of all upstreams known to be leaving.
     *
     * @return a copy
     */
    public Set<String> leaving() {
        return Set.copyOf(leaving);
    }

    /**
     * Returns a number that grows with every change of the list, but not with notices.
     *
     * @return the version
     */
    public long listVersion() {
        return listVersion;
    }

    private UpstreamState stateOf(LocalUpstream upstream) {
        return new UpstreamState(upstream, leaving.contains(upstream.id()));
    }

    private void removeOldNotices() {
        if (leaving.size() > MAX_LEAVING_NAMES) {
            leaving.retainAll(upstreams.keySet());
        }
    }
}
