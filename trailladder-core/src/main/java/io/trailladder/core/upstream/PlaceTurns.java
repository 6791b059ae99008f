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
 * The turns in which processes use the slots of an upstream that are to be used by one process at a
 * time. All processes derive the turns in the same way from the agreed time of day. In each turn,
 * the parts of all processes add up to the slots; where these are fewer than the processes, the
 * next ones follow in the next turn.
 *
 * @param upstream the upstream
 * @param position the position of this process among those that use the upstream
 * @param millis the duration of a turn, in milliseconds
 */
record PlaceTurns(Upstream upstream, SendSlotOrder position, long millis) {
    /** Returns how many of the slots this process may use at a given agreed time. */
    int part(long agreedMillis) {
        return partOf(Math.floorDiv(agreedMillis, millis));
    }

    /** Returns how long it is until the next turn, in milliseconds. */
    long untilNextMillis(long agreedMillis) {
        return millis - Math.floorMod(agreedMillis, millis);
    }

    /** Returns how long it is until the next turn in which this process has a part. */
    long untilNextOwnMillis(long agreedMillis) {
        long next = Math.floorDiv(agreedMillis, millis) + 1;
        long last = next + processes();
        long turn = next;
        while (turn < last && partOf(turn) == 0) {
            turn++;
        }
        return untilNextMillis(agreedMillis) + (turn - next) * millis;
    }

    private int partOf(long turn) {
        int slots = upstream.slots();
        // The order is shifted, so that a process does not have its turn everywhere at once.
        long first = Math.floorMod((turn + upstream.id().hashCode()) * slots, processes());
        boolean hasOneMore =
                Math.floorMod(position.index() - first, processes()) < slots % processes();
        return slots / processes() + (hasOneMore ? 1 : 0);
    }

    private int processes() {
        return Math.max(1, position.count());
    }
}
