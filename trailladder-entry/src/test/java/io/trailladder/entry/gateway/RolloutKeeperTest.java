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
    private final RolloutManager manager =
            new RolloutManager(
                    new EmptyPlatformFormat(),
                    gate,
                    new GatewaySettings.Rollouts(true, 0.1, 50),
                    new SplittableRandom(1),
                    () -> 0,
                    new GatewayMetrics());

    private void receiveUpdate(RolloutOrder order, RolloutPhase phase) {
        manager.receive(new RolloutUpdate(order, phase, 10_000, 1, List.of()), true);
    }

    private Optional<State> lostState() {
        Rollout rollout = gate.rollout("m").orElseThrow();
        return manager.lostRecord(rollout).map(RolloutStatus::state);
    }

    // Guards against a leader that has heard the result from a peer only, and writes again the
    // record before it.
    @Example
    void resultReportedOnlyByAPeerIsRecordedAgain() {
        receiveUpdate(ORDER, RolloutPhase.SAMPLING);
        manager.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 401), true);
        receiveUpdate(ORDER, RolloutPhase.ROLLED_BACK);
        manager.historyReplaced();
        receiveUpdate(ORDER.withRevision(12), RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.of(State.ROLLED_BACK), lostState());
    }

    @Example
    void resultReportedByAPeerAfterARecordWasWrittenAgainIsRecorded() {
        receiveUpdate(ORDER, RolloutPhase.SAMPLING);
        manager.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 401), true);
        manager.historyReplaced();
        receiveUpdate(ORDER.withRevision(12), RolloutPhase.SAMPLING);
        assertEquals(Optional.of(State.IN_PROGRESS), lostState());
        manager.recorded(new RolloutStatus("m", "v2", State.IN_PROGRESS, 13), true);
        assertEquals(Optional.empty(), lostState());
        receiveUpdate(ORDER.withRevision(12), RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.of(State.ROLLED_BACK), lostState());
        manager.recorded(new RolloutStatus("m", "v2", State.ROLLED_BACK, 14), true);
        assertEquals(Optional.empty(), lostState());
    }

    @Example
    void withoutARestoredStoreNothingIsRecordedAgain() {
        receiveUpdate(ORDER, RolloutPhase.ROLLED_BACK);
        assertEquals(Optional.empty(), lostState());
    }
}
