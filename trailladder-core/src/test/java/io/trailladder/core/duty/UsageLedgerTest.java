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
package io.trailladder.core.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Counts of all entries add up, and those of a lost entry survive at the others. */
class UsageLedgerTest {
    private static final long WINDOW = 5_000;

    @Example
    void countsAddUpByWindowAndOrganisation() {
        UsageLedger ledger = new UsageLedger("a/1", WINDOW);
        ledger.started("t", 4_999);
        ledger.started("t", 5_000);
        ledger.merge("b/1", List.of(new UsageCount(1, "t", 2), new UsageCount(1, "u", 1)), false);
        assertEquals(Map.of("t", 1), ledger.total(0));
        assertEquals(Map.of("t", 3, "u", 1), ledger.total(1));
    }

    @Example
    void lateOrRepeatedDigestNeverLowersACount() {
        UsageLedger ledger = new UsageLedger("a/1", WINDOW);
        ledger.merge("b/1", List.of(new UsageCount(1, "t", 5)), false);
        ledger.merge("b/1", List.of(new UsageCount(1, "t", 3)), false);
        assertEquals(Map.of("t", 5), ledger.total(1));
    }

    @Example
    void restartedEntryCountsBesideItsEarlierIncarnation() {
        UsageLedger ledger = new UsageLedger("a/1", WINDOW);
        ledger.merge("b/1", List.of(new UsageCount(1, "t", 5)), false);
        ledger.merge("b/2", List.of(new UsageCount(1, "t", 2)), false);
        assertEquals(Map.of("t", 7), ledger.total(1));
    }

    @Example
    void onlyCountsToBePassedOnAreReportedAsChanges() {
        UsageLedger ledger = new UsageLedger("hub/1", WINDOW);
        ledger.started("t", 5_000);
        ledger.merge("leaf/1", List.of(new UsageCount(1, "t", 5)), true);
        ledger.merge("other-hub/1", List.of(new UsageCount(1, "t", 9)), false);
        long told = ledger.sequence();
        assertEquals(
                Map.of(
                        "hub/1", List.of(new UsageCount(1, "t", 1)),
                        "leaf/1", List.of(new UsageCount(1, "t", 5))),
                ledger.changesAfter(0));
        ledger.merge("leaf/1", List.of(new UsageCount(1, "t", 5)), true);
        assertEquals(Map.of(), ledger.changesAfter(told));
        ledger.merge("leaf/1", List.of(new UsageCount(1, "t", 7)), true);
        assertEquals(
                Map.of("leaf/1", List.of(new UsageCount(1, "t", 7))), ledger.changesAfter(told));
    }

    @Example
    void usageReplicaReceivesAllChanges() {
        UsageLedger ledger = new UsageLedger("hub/1", WINDOW);
        ledger.merge("other-hub/1", List.of(new UsageCount(1, "t", 9)), false);
        long told = ledger.sequence();
        ledger.started("t", 5_000);
        ledger.started("t", 5_000);
        ledger.merge("other-hub/1", List.of(new UsageCount(1, "t", 9)), false);
        assertEquals(
                Map.of(
                        "hub/1", List.of(new UsageCount(1, "t", 2)),
                        "other-hub/1", List.of(new UsageCount(1, "t", 9))),
                ledger.allChangesAfter(0));
        assertEquals(
                Map.of("hub/1", List.of(new UsageCount(1, "t", 2))), ledger.allChangesAfter(told));
    }

    @Example
    void changesOfOldWindowsAreRemovedWithTheirCounts() {
        UsageLedger ledger = new UsageLedger("a/1", WINDOW);
        ledger.started("t", 0);
        ledger.merge("b/1", List.of(new UsageCount(0, "t", 9)), false);
        ledger.started("t", 20 * WINDOW);
        ledger.removeOldWindows(20 * WINDOW);
        assertEquals(Map.of("a/1", List.of(new UsageCount(20, "t", 1))), ledger.allChangesAfter(0));
        assertEquals(List.of("a/1"), ledger.entries());
    }
}
