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
 * What the head of an answer says of how many requests its upstream takes.
 *
 * @param kind whether it names a limit
 * @param perSecond the requests a second that the upstream takes from all processes together; 0 if
 *     none is named
 * @since 0.6
 */
public record LimitNotice(Kind kind, double perSecond) {
    /** Names no limit. */
    public static final LimitNotice ABSENT = new LimitNotice(Kind.ABSENT, 0);

    /** Names one that cannot be read, so neither that there is a limit nor that there is none. */
    public static final LimitNotice UNREADABLE = new LimitNotice(Kind.UNREADABLE, 0);

    /** Whether an answer names a limit. */
    public enum Kind {
        /** It names one. */
        NAMED,
        /** It names none, so that one that was named before has ended. */
        ABSENT,
        /** It says nothing that can be believed. */
        UNREADABLE
    }

    /**
     * Returns a limit that is named.
     *
     * @param perSecond requests a second, 0 or more
     * @return the notice
     */
    public static LimitNotice of(double perSecond) {
        return new LimitNotice(Kind.NAMED, perSecond);
    }

    /**
     * Tells whether a limit is named.
     *
     * @return false if none is, or it cannot be read
     */
    public boolean isNamed() {
        return kind == Kind.NAMED;
    }
}
