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
 * Which of a limit's send slots belong to this process: the processes use the slots in turn.
 *
 * @param index the position of this process among those that share a limit, from 0
 * @param count how many processes share it; 0 if this process has no share
 * @since 0.6
 */
public record SendSlotOrder(int index, int count) {
    /** Has no slots. */
    public static final SendSlotOrder NO_SHARE = new SendSlotOrder(0, 0);

    /**
     * Returns the first slot of this process at or after a given slot.
     *
     * @param from the number of the given slot
     * @param offset by how many slots the order is shifted, so that it differs between limits
     * @return the number of the slot; {@link Long#MAX_VALUE} if there is none
     */
    long firstOwn(long from, long offset) {
        return count == 0 ? Long.MAX_VALUE : from + Math.floorMod(index - offset - from, count);
    }
}
