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
package io.trailladder.core.rollout;

import java.util.Optional;

/**
 * The phases of a roll-out. A process never returns to an earlier phase of the same order.
 *
 * @since 0.4
 */
public enum RolloutPhase {
    /** A small share of the requests goes to the new version. */
    SAMPLING,
    /**
     * The new version was found good: all new requests go to it, and the old one finishes those
     * that it has.
     */
    SWITCHING,
    /** The new version was found bad: it gets no requests; the result is not recorded yet. */
    HALTED,
    /** The result is recorded: the new version failed. */
    ROLLED_BACK,
    /** The result is recorded: the old version stops. */
    COMPLETED;

    /**
     * Returns whether the result is recorded.
     *
     * @return true for {@link #ROLLED_BACK} and {@link #COMPLETED}
     */
    public boolean isFinal() {
        return this == ROLLED_BACK || this == COMPLETED;
    }

    /**
     * Returns the result that is recorded.
     *
     * @return the state; empty if there is no result yet
     */
    public Optional<RolloutStatus.State> result() {
        return switch (this) {
            case ROLLED_BACK -> Optional.of(RolloutStatus.State.ROLLED_BACK);
            case COMPLETED -> Optional.of(RolloutStatus.State.COMPLETED);
            case SAMPLING, SWITCHING, HALTED -> Optional.empty();
        };
    }

    /**
     * Returns the later of two phases. Of two final phases this one is kept: the record in the
     * store decides, and the result is written there only once.
     *
     * @param reported the phase that another process reports
     * @return the phase to go on with
     */
    public RolloutPhase merge(RolloutPhase reported) {
        return isFinal() || reported.compareTo(this) <= 0 ? this : reported;
    }
}
