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
package io.trailladder.core.worker;

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
 * <p>Names are never used again, so an upstream that announced that it leaves stays so even if an
 * older entry arrives late. One whose entry is only gone serves again if the entry comes back: it
 * may have lapsed while the store was away.
 *
 * @since 0.2
 */
public final class WorkerDirectory {
    private static final int MAX_REMEMBERED = 20_000;

    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, List<Worker>> byService = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();

    /**
     * Takes over a complete list; upstreams that it lacks are gone.
     *
     * @param listed all upstreams
     * @return those that are newly leaving or gone
     */
    public List<Worker> replaceAll(Collection<Worker> listed) {
        Set<String> names = new HashSet<>();
        listed.forEach(worker -> names.add(worker.id()));
        List<Worker> left = new ArrayList<>();
        for (Worker known : List.copyOf(workers.values())) {
            if (!names.contains(known.id())) {
                removed(known.id()).ifPresent(left::add);
            }
        }
        listed.forEach(worker -> changed(worker).ifPresent(left::add));
        return left;
    }

    /**
     * Records an upstream's entry.
     *
     * @param worker the entry
     * @return the upstream if it is newly leaving
     */
    public Optional<Worker> changed(Worker worker) {
        workers.put(worker.id(), worker);
        byService.clear();
        return worker.draining() ? leaving(worker.id()) : Optional.empty();
    }

    /**
     * Records that an upstream's entry is gone.
     *
     * @param id the upstream's name
     * @return the upstream if it was known
     */
    public Optional<Worker> removed(String id) {
        byService.clear();
        return Optional.ofNullable(workers.remove(id));
    }

    /**
     * Records that an upstream leaves.
     *
     * @param id the upstream's name
     * @return the upstream if this is news and it is known
     */
    public Optional<Worker> leaving(String id) {
        forgetOldNames();
        if (!leaving.add(id)) {
            return Optional.empty();
        }
        byService.clear();
        return Optional.ofNullable(workers.get(id));
    }

    /**
     * Returns the upstreams of a service that take new work.
     *
     * @param service the service's name
     * @return the upstreams; none if the service is unknown
     */
    public List<Worker> serving(String service) {
        return byService.computeIfAbsent(service, this::collect);
    }

    /**
     * Finds an upstream, leaving or not.
     *
     * @param id its name
     * @return the upstream
     */
    public Optional<Worker> find(String id) {
        return Optional.ofNullable(workers.get(id));
    }

    /**
     * Returns all listed upstreams, leaving ones too.
     *
     * @return a copy
     */
    public List<Worker> all() {
        return List.copyOf(workers.values());
    }

    /**
     * Tells whether an upstream has announced that it leaves, to this process or a peer.
     *
     * @param id its name
     * @return true if it takes no new work any more
     */
    public boolean isLeaving(String id) {
        return leaving.contains(id);
    }

    private List<Worker> collect(String service) {
        return workers.values().stream()
                .filter(worker -> worker.service().equals(service))
                .filter(worker -> !leaving.contains(worker.id()))
                .toList();
    }

    private void forgetOldNames() {
        if (leaving.size() > MAX_REMEMBERED) {
            leaving.retainAll(workers.keySet());
        }
    }
}
