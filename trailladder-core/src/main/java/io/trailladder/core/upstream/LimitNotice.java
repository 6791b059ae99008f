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

/**
 * What the head of an answer reports about how many requests its upstream accepts.
 *
 * @param kind whether it names a limit
 * @param perSecond the requests per second that the upstream accepts from all processes together; 0
 *     if no limit is named
 * @since 0.6
 */
public record LimitNotice(Kind kind, double perSecond) {
    /** Names no limit. */
    public static final LimitNotice ABSENT = new LimitNotice(Kind.ABSENT, 0);

    /** Names a limit that cannot be parsed, which neither sets nor ends a limit. */
    public static final LimitNotice UNREADABLE = new LimitNotice(Kind.UNREADABLE, 0);

    /** Whether an answer names a limit. */
    public enum Kind {
        /** It names a limit. */
        NAMED,
        /** It names no limit, so that a limit named before has ended. */
        ABSENT,
        /** It names a limit that cannot be parsed. */
        UNREADABLE
    }

    /**
     * Returns a notice that names a limit.
     *
     * @param perSecond requests per second, 0 or more
     * @return the notice
     */
    public static LimitNotice of(double perSecond) {
        return new LimitNotice(Kind.NAMED, perSecond);
    }

    /**
     * Returns whether a limit is named.
     *
     * @return false if none is named, or it cannot be parsed
     */
    public boolean isNamed() {
        return kind == Kind.NAMED;
    }
}
