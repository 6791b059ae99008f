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

import java.util.Optional;

/**
 * Where a stream began that is resumed.
 *
 * @param source how the version is known
 * @param version the version of the upstream that sent its first event; empty if any may be chosen
 * @since 0.6
 */
public record StreamOrigin(Source source, String version) {
    /** A stream that may run at any upstream: its service had only one version. */
    public static final StreamOrigin ANY = new StreamOrigin(Source.ONE_VERSION, "");

    /** A stream of which it is not known at which of several versions it began. */
    public static final StreamOrigin UNKNOWN = new StreamOrigin(Source.UNKNOWN, "");

    /** A stream that a process may have begun that did not answer, or uses a newer plan. */
    public static final StreamOrigin OUTDATED = new StreamOrigin(Source.OUTDATED, "");

    /** A new stream at a process that others may take for ended, so that it must not begin. */
    public static final StreamOrigin ISOLATED = new StreamOrigin(Source.ISOLATED, "");

    /** How the version of a stream is known. */
    public enum Source {
        /** The stream is a new one, whose version follows from the id of its attempt. */
        ASSIGNED,
        /** The service had no other version. */
        ONE_VERSION,
        /** This process forwarded the first event. */
        RECORDED,
        /** The version follows from the id of the attempt. */
        COMPUTED,
        /** It is not known. */
        UNKNOWN,
        /** It is not known, because this process may lack what others know. */
        OUTDATED,
        /** It must not begin, because others may take this process for ended. */
        ISOLATED
    }

    /**
     * Returns whether it is known at which version the stream may run.
     *
     * @return false if it must not begin or be resumed here
     */
    public boolean isKnown() {
        return source != Source.UNKNOWN && source != Source.OUTDATED && source != Source.ISOLATED;
    }

    /**
     * Returns the version to which an upstream may belong.
     *
     * @return the version; empty if any may be chosen
     */
    public Optional<String> required() {
        return source == Source.ONE_VERSION ? Optional.empty() : Optional.of(version);
    }

    /**
     * Returns the origin of a stream of which a process has forwarded the first event.
     *
     * @param version the version of the upstream that sent it
     * @return the origin
     */
    public static StreamOrigin recorded(String version) {
        return new StreamOrigin(Source.RECORDED, version);
    }

    static StreamOrigin assigned(String version) {
        return new StreamOrigin(Source.ASSIGNED, version);
    }

    static StreamOrigin computed(String version) {
        return new StreamOrigin(Source.COMPUTED, version);
    }
}
