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

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.trailladder.core.rollout.Rollout;
import io.trailladder.core.rollout.RolloutOrder;
import io.trailladder.core.rollout.RolloutPhase;
import io.trailladder.core.rollout.RolloutStatus;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.rollout.RolloutUpdate;
import io.trailladder.core.rollout.VersionGate;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/** What a process knows of roll-outs when the store comes back from a copy. */
class RolloutKeeperTest {
    private static final RolloutOrder ORDER = new RolloutOrder("m", "v2", 20_000, 400);

    private final VersionGate gate = new VersionGate();
    private final RolloutManager keeper =
            new RolloutManager(
                    new NoFormat(),
                    gate,
                    new GatewaySettings.Rollouts(true, 0.1, 50),
                    new SplittableRandom(1),
                    () -> 0,
                    new GatewayMetrics());

    private void told(RolloutOrder order, RolloutPhase phase) {
        keeper.receive(new RolloutUpdate(order, phase, 10_000, 1, List.of()), true);
    }

    private Optional<State> lost() {
        Rollout rollout = gate.rollout("m").orElseThrow();
        return keeper.lostRecord(rollout).map(RolloutStatus::state);
    }

    // Guards against a leader that has heard the result from a peer only, and writes again the
    // record before it.
    @Example
    void resultThatOnlyAPeerToldIsRecordedAgain() {
        told(ORDER, RolloutPhase.SAMPLING);
        keeper.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 401), true);
        told(ORDER, RolloutPhase.ROLLED_BACK);
        keeper.historyReplaced();
        told(ORDER.withRevision(12), RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.of(State.ROLLED_BACK), lost());
    }

    @Example
    void resultThatAPeerTellsAfterARecordWasWrittenAgainIsRecorded() {
        told(ORDER, RolloutPhase.SAMPLING);
        keeper.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 401), true);
        keeper.historyReplaced();
        told(ORDER.withRevision(12), RolloutPhase.SAMPLING);
        assertEquals(Optional.of(State.IN_PROGRESS), lost());
        keeper.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 13), true);
        assertEquals(Optional.empty(), lost());
        told(ORDER.withRevision(12), RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.of(State.ROLLED_BACK), lost());
        keeper.recorded(new RolloutStatus("m", "v2", State.ROLLED_BACK, 14), true);
        assertEquals(Optional.empty(), lost());
    }

    @Example
    void withoutAReturnNothingIsRecordedAgain() {
        told(ORDER, RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.empty(), lost());
    }
}
