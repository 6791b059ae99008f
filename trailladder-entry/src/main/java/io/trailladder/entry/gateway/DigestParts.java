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
package io.trailladder.entry.gateway;

import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The components that exchange a section in each digest. An invalid section is dropped alone; the
 * rest of the digest counts.
 */
final class DigestParts {
    /**
     * Maximum age of accepted figures, in milliseconds: what a peer sent before a longer network
     * partition does not count.
     */
    private static final long MAX_AGE_MILLIS = 60_000;

    /**
     * Minimum time between two log lines on dropped sections of one peer, in milliseconds: one line
     * in 50 digests.
     */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private final List<DigestPart> parts = new ArrayList<>();
    private final Map<String, Long> loggedMillis = new HashMap<>();

    void add(DigestPart part) {
        parts.add(part);
    }

    /** Returns the sections of all parts that have something to send. */
    List<DigestSection> sections(DigestScope scope, List<String> peers, long nowMillis) {
        if (parts.isEmpty()) {
            return List.of();
        }
        List<DigestSection> sections = new ArrayList<>(parts.size());
        for (DigestPart part : parts) {
            part.write(scope, peers, nowMillis).ifPresent(sections::add);
        }
        return sections;
    }

    /**
     * Passes each section of a digest to its part; sections of unknown names and versions are
     * ignored.
     */
    void received(String peer, NodeDigest digest, long nowMillis) {
        parts.forEach(part -> part.heard(peer, nowMillis));
        if (digest.sections().size() > DigestSection.MAX_SECTIONS) {
            logDropped(peer, digest.sections().size() + " sections", nowMillis);
            return;
        }
        for (DigestSection section : digest.sections()) {
            for (DigestPart part : parts) {
                if (part.name().equals(section.name()) && part.version() == section.version()) {
                    deliver(part, peer, section, nowMillis);
                }
            }
        }
    }

    void linked(String peer, long nowMillis) {
        parts.forEach(part -> part.linked(peer, nowMillis));
    }

    void silent(String peer, long sinceMillis) {
        parts.forEach(part -> part.silent(peer, sinceMillis));
    }

    void forget(String peer) {
        parts.forEach(part -> part.forget(peer));
    }

    private void deliver(DigestPart part, String peer, DigestSection section, long nowMillis) {
        if (section.body().length > DigestSection.MAX_BODY_BYTES) {
            logDropped(peer, section.name() + " of " + section.body().length + " bytes", nowMillis);
        } else if (section.ageMillis() < 0 || section.ageMillis() > MAX_AGE_MILLIS) {
            logDropped(peer, section.name() + " of age " + section.ageMillis() + " ms", nowMillis);
        } else {
            try {
                part.received(peer, section, nowMillis);
            } catch (IOException e) {
                logDropped(peer, section.name() + ": " + e.getMessage(), nowMillis);
            }
        }
    }

    private void logDropped(String peer, String detail, long nowMillis) {
        Long logged = loggedMillis.get(peer);
        if (logged == null || nowMillis - logged >= LOG_INTERVAL_MILLIS) {
            loggedMillis.put(peer, nowMillis);
            DecisionLog.write(new Lifecycle("peer " + peer, "section dropped", detail));
        }
    }
}
