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

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.wire.NodeMessage.DigestSection;
import io.trailladder.wire.NodeMessage.NodeDigest;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tells peers which life of an upstream leaves. A digest names leaving upstreams in a field that
 * all builds read; their lives stand in a section of their own, in the same order, which builds
 * without it pass over.
 */
final class LeavingIncarnations {
    private static final String NAME = "leaving-lives";
    private static final int VERSION = 1;

    private LeavingIncarnations() {}

    /** Returns the names, for the field. */
    static List<String> ids(List<LeavingUpstream> leaving) {
        return leaving.stream().map(LeavingUpstream::id).toList();
    }

    /** Returns the section; empty if no life is known. */
    static Optional<DigestSection> section(List<LeavingUpstream> leaving) {
        if (leaving.stream().noneMatch(upstream -> upstream.startedMillis() > 0)) {
            return Optional.empty();
        }
        ByteBuffer body = ByteBuffer.allocate(leaving.size() * Long.BYTES);
        leaving.forEach(upstream -> body.putLong(upstream.startedMillis()));
        return Optional.of(new DigestSection(NAME, VERSION, 0, body.array()));
    }

    /** Returns what a digest tells; lives that do not fit the names count as not told. */
    static List<LeavingUpstream> of(NodeDigest digest) {
        List<String> ids = digest.leaving();
        if (ids.isEmpty()) {
            return List.of();
        }
        ByteBuffer lives = ByteBuffer.wrap(body(digest, ids.size() * Long.BYTES));
        List<LeavingUpstream> leaving = new ArrayList<>(ids.size());
        for (String id : ids) {
            leaving.add(new LeavingUpstream(id, lives.hasRemaining() ? lives.getLong() : 0));
        }
        return leaving;
    }

    private static byte[] body(NodeDigest digest, int length) {
        for (DigestSection section : digest.sections()) {
            boolean meant = section.name().equals(NAME) && section.version() == VERSION;
            if (meant && section.body().length == length) {
                return section.body();
            }
        }
        return new byte[0];
    }
}
