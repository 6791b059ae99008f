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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The upstreams that serve, by service.
 *
 * <p>An upstream that announced that it leaves stays so until its life ends, even if an older entry
 * arrives late, and is listed as {@link Upstream#draining draining} to every reader, whoever told
 * it first: its entry, a peer, or one of its answers. One whose entry is only gone serves again if
 * the entry comes back: it may have lapsed while the store was away.
 *
 * @since 0.2
 */
public final class UpstreamDirectory {
    private static final int MAX_LEAVING = 20_000;

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();

    /** When the lives that leave started; 0 if not told, which holds for any life. */
    private final Map<String, Long> leaving = new HashMap<>();

    /**
     * Takes over a complete list; upstreams that it lacks are gone.
     *
     * @param listed all upstreams
     * @return those that are newly leaving or gone
     */
    public List<Upstream> replaceAll(Collection<Upstream> listed) {
        Set<String> names = new HashSet<>();
        listed.forEach(upstream -> names.add(upstream.id()));
        List<Upstream> left = new ArrayList<>();
        for (Upstream known : List.copyOf(upstreams.values())) {
            if (!names.contains(known.id())) {
                removed(known.id()).ifPresent(left::add);
            }
        }
        listed.forEach(upstream -> changed(upstream).ifPresent(left::add));
        return left;
    }

    /**
     * Records an upstream's entry.
     *
     * @param entry the entry
     * @return the upstream if it is newly leaving, or if it is newly known when it ends: an answer
     *     or a peer may have told before that it leaves, but not until when it runs
     */
    public Optional<Upstream> changed(Upstream entry) {
        Upstream before = upstreams.get(entry.id());
        boolean endWasKnown = before != null && before.leavesInMillis() > 0;
        if (isLaterIncarnation(entry)) {
            leaving.remove(entry.id());
        }
        upstreams.put(entry.id(), isLeaving(entry.id()) ? entry.asLeaving() : entry);
        byService.clear();
        if (!entry.draining()) {
            return Optional.empty();
        }
        Optional<Upstream> newlyLeaving =
                leaving(new LeavingUpstream(entry.id(), entry.startedMillis()));
        boolean endIsNews = entry.leavesInMillis() > 0 && !endWasKnown;
        return endIsNews ? Optional.of(entry) : newlyLeaving;
    }

    /**
     * Records that an upstream's entry is gone.
     *
     * @param id the upstream's name
     * @return the upstream if it was known
     */
    public Optional<Upstream> removed(String id) {
        byService.clear();
        return Optional.ofNullable(upstreams.remove(id));
    }

    /**
     * Records that an upstream leaves. What is told of an earlier life than the one listed is
     * passed over: it has ended.
     *
     * @param told the life that leaves
     * @return the upstream if this is news and it is known
     */
    public Optional<Upstream> leaving(LeavingUpstream told) {
        evictUnlistedNames();
        Upstream listed = upstreams.get(told.id());
        long listedBorn = listed == null ? 0 : listed.startedMillis();
        boolean hasEnded = told.startedMillis() > 0 && told.startedMillis() < listedBorn;
        if (hasEnded || isLeaving(told.id())) {
            return Optional.empty();
        }
        leaving.put(told.id(), told.startedMillis() > 0 ? told.startedMillis() : listedBorn);
        byService.clear();
        upstreams.computeIfPresent(told.id(), (name, upstream) -> upstream.asLeaving());
        return Optional.ofNullable(upstreams.get(told.id()));
    }

    /**
     * Tells which life of an upstream leaves.
     *
     * @param id the upstream's name
     * @return the life, of a start that may not be known; empty if the upstream does not leave
     */
    public Optional<LeavingUpstream> leavingIncarnation(String id) {
        return Optional.ofNullable(leaving.get(id)).map(born -> new LeavingUpstream(id, born));
    }

    private boolean isLaterIncarnation(Upstream entry) {
        long born = leaving.getOrDefault(entry.id(), 0L);
        return born > 0 && entry.startedMillis() > born;
    }

    /**
     * Returns the upstreams of a service that take new work.
     *
     * @param service the service's name
     * @return the upstreams; none if the service is unknown
     */
    public List<Upstream> serving(String service) {
        return byService.computeIfAbsent(service, this::collect);
    }

    /**
     * Finds an upstream, leaving or not.
     *
     * @param id its name
     * @return the upstream
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns all listed upstreams, leaving ones too.
     *
     * @return a copy
     */
    public List<Upstream> all() {
        return List.copyOf(upstreams.values());
    }

    /**
     * Tells whether an upstream has announced that it leaves, to this process or a peer.
     *
     * @param id its name
     * @return true if it takes no new work any more
     */
    public boolean isLeaving(String id) {
        return leaving.containsKey(id);
    }

    private List<Upstream> collect(String service) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.service().equals(service))
                .filter(upstream -> !isLeaving(upstream.id()))
                .toList();
    }

    private void evictUnlistedNames() {
        if (leaving.size() > MAX_LEAVING) {
            leaving.keySet().retainAll(upstreams.keySet());
        }
    }
}
