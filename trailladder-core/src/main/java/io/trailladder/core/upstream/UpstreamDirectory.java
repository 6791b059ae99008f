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
 * The listed upstreams, by service.
 *
 * <p>An upstream that announced that it leaves stays leaving until its incarnation ends, even if an
 * older entry arrives late. All readers see it as {@link Upstream#draining draining}, whether its
 * entry, a peer, or one of its answers reported it first. An upstream whose entry was only removed
 * serves again when the entry returns: it may have lapsed while the store was unavailable.
 *
 * @since 0.2
 */
public final class UpstreamDirectory {
    private static final int MAX_LEAVING = 20_000;

    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();

    /**
     * Start times of the leaving incarnations, by name; 0 if unknown, which applies to any
     * incarnation.
     */
    private final Map<String, Long> leaving = new HashMap<>();

    /**
     * Applies a complete list; upstreams missing from it are removed.
     *
     * @param listed all upstreams
     * @return those that are newly leaving or removed
     */
    public List<Upstream> replaceAll(Collection<Upstream> listed) {
        Set<String> names = new HashSet<>();
        listed.forEach(upstream -> names.add(upstream.id()));
        List<Upstream> leavingOrRemoved = new ArrayList<>();
        for (Upstream known : List.copyOf(upstreams.values())) {
            if (!names.contains(known.id())) {
                removed(known.id()).ifPresent(leavingOrRemoved::add);
            }
        }
        listed.forEach(upstream -> changed(upstream).ifPresent(leavingOrRemoved::add));
        return leavingOrRemoved;
    }

    /**
     * Records an upstream's entry.
     *
     * @param entry the entry
     * @return the upstream if it is newly leaving, or if its end time is newly known: an answer or
     *     a peer may have reported before that it leaves, but not until when it runs
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
        boolean endIsNew = entry.leavesInMillis() > 0 && !endWasKnown;
        return endIsNew ? Optional.of(entry) : newlyLeaving;
    }

    /**
     * Records that an upstream's entry was removed.
     *
     * @param id the upstream's name
     * @return the upstream if it was known
     */
    public Optional<Upstream> removed(String id) {
        byService.clear();
        return Optional.ofNullable(upstreams.remove(id));
    }

    /**
     * Records that an upstream leaves. A report about an incarnation before the listed one is
     * ignored, because that incarnation has ended.
     *
     * @param report the incarnation that leaves
     * @return the upstream if it is listed and was not known to leave
     */
    public Optional<Upstream> leaving(LeavingUpstream report) {
        evictUnlistedNames();
        Upstream listed = upstreams.get(report.id());
        long listedStartMillis = listed == null ? 0 : listed.startedMillis();
        boolean hasEnded = report.startedMillis() > 0 && report.startedMillis() < listedStartMillis;
        if (hasEnded || isLeaving(report.id())) {
            return Optional.empty();
        }
        leaving.put(
                report.id(),
                report.startedMillis() > 0 ? report.startedMillis() : listedStartMillis);
        byService.clear();
        upstreams.computeIfPresent(report.id(), (name, upstream) -> upstream.asLeaving());
        return Optional.ofNullable(upstreams.get(report.id()));
    }

    /**
     * Returns the incarnation of an upstream that leaves.
     *
     * @param id the upstream's name
     * @return the incarnation, whose start time may be unknown; empty if the upstream does not
     *     leave
     */
    public Optional<LeavingUpstream> leavingIncarnation(String id) {
        return Optional.ofNullable(leaving.get(id))
                .map(startedMillis -> new LeavingUpstream(id, startedMillis));
    }

    private boolean isLaterIncarnation(Upstream entry) {
        long startedMillis = leaving.getOrDefault(entry.id(), 0L);
        return startedMillis > 0 && entry.startedMillis() > startedMillis;
    }

    /**
     * Returns the services that have upstreams.
     *
     * @return their names
     */
    public Set<String> services() {
        Set<String> services = new HashSet<>();
        upstreams.values().forEach(upstream -> services.add(upstream.service()));
        return services;
    }

    /**
     * Returns the upstreams of a service that accept new work.
     *
     * @param service the service's name
     * @return the upstreams; none if the service is unknown
     */
    public List<Upstream> serving(String service) {
        return byService.computeIfAbsent(service, this::collect);
    }

    /**
     * Returns the upstreams of a service that leave.
     *
     * @param service the service's name
     * @return the upstreams that are listed and accept no new work
     */
    public List<Upstream> leaving(String service) {
        return leaving.keySet().stream()
                .map(upstreams::get)
                .filter(upstream -> upstream != null && upstream.service().equals(service))
                .toList();
    }

    /**
     * Finds an upstream, including leaving ones.
     *
     * @param id its name
     * @return the upstream
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns all listed upstreams, including leaving ones.
     *
     * @return a copy
     */
    public List<Upstream> all() {
        return List.copyOf(upstreams.values());
    }

    /**
     * Returns whether an upstream has announced that it leaves, to this process or a peer.
     *
     * @param id its name
     * @return true if it accepts no new work any more
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
