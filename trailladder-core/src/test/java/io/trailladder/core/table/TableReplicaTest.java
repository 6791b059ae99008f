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
package io.trailladder.core.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.table.TableReplica.Offer;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** A table in force never reverts, whatever is offered late, twice or out of order. */
class TableReplicaTest {
    private static TableChange change(long revision) {
        String previous = revision == 1 ? "" : "c" + (revision - 1);
        return new TableChange(revision, "c" + revision, previous, "ana", List.of(), List.of());
    }

    @Property(tries = 300, seed = "20261202")
    void revisionNeverFalls(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 12) Integer> offers) {
        TableReplica replica = new TableReplica();
        for (int revision : offers) {
            long before = replica.table().revision();
            Offer offer = replica.offer(change(revision));
            long after = replica.table().revision();
            assertEquals(offer == Offer.APPLIED ? before + 1 : before, after);
        }
    }

    @Example
    void oldSnapshotOfALaggingPeerChangesNothing() {
        TableReplica replica = new TableReplica();
        replica.offer(change(1));
        replica.offer(change(2));
        assertEquals(Offer.STALE, replica.offer(Table.of(1, "c1", List.of())));
        assertEquals(2, replica.table().revision());
        assertEquals(List.of(change(2)), replica.changesSince(1).orElseThrow());
    }

    @Example
    void changeOfAnotherHistoryIsAGap() {
        TableReplica replica = new TableReplica();
        replica.offer(change(1));
        TableChange foreign = new TableChange(2, "c2", "other", "eva", List.of(), List.of());
        assertEquals(Offer.GAP, replica.offer(foreign));
    }

    @Example
    void everyFaultOfALineIsReported() {
        RowChecker checker = new RowChecker();
        Map<String, String> cells =
                Map.of("organisation", "Banco", "target", "modelo-hipo", "kind", "modle");
        var faults = checker.check(2, cells).getError();
        List<String> columns = faults.map(RowFault::column).asJava();
        assertEquals(
                List.of(
                        "organisation",
                        "kind",
                        "data_centres",
                        "weight",
                        "limit_per_s",
                        "latency_ms",
                        "repeatable",
                        "key_sha256"),
                columns);
        assertTrue(faults.get(1).describe("t.csv").startsWith("t.csv:2: column 'kind'"));
    }
}
