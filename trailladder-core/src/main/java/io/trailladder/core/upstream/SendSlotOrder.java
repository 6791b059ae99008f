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
 * Which of the turns at a limit are this process's: processes take them one after the other.
 *
 * @param index the place of this process among those that share a limit, from 0
 * @param count how many share it; 0 if this process has no part in it
 * @since 0.6
 */
public record SendSlotOrder(int index, int count) {
    /** Has no turns at all. */
    public static final SendSlotOrder NO_SHARE = new SendSlotOrder(0, 0);

    /**
     * Finds the first own turn from some turn on.
     *
     * @param from the number of that turn
     * @param offset turns by which the order is shifted, so that it differs between limits
     * @return the number of the own turn; {@link Long#MAX_VALUE} if there is none
     */
    long firstOwn(long from, long offset) {
        return count == 0 ? Long.MAX_VALUE : from + Math.floorMod(index - offset - from, count);
    }
}
