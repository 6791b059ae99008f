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
package io.trailladder.core.claim;

/**
 * Assigns a range of keys to the entry that owns it and the entry that keeps the copy of its
 * claims.
 *
 * @param epoch number that grows with every change of this range
 * @param owner the owner's name; empty if no entry ever owned the range
 * @param backup the name of the entry that keeps the copy; empty if there is none
 * @param unknownUntilMillis time until which a key that the owner does not know may have been
 *     claimed from an earlier owner that was lost together with its backup, in milliseconds since
 *     1970; 0 if there was no such loss
 * @since 0.1
 */
public record RangeAssignment(long epoch, String owner, String backup, long unknownUntilMillis) {
    /** The assignment of a range that no entry ever owned. */
    public static final RangeAssignment NONE = new RangeAssignment(0, "", "", 0);
}
