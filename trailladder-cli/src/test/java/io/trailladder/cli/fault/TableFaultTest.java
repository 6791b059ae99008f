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
package io.trailladder.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.table.Row;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.platform.TableStore.CommitFailure;
import io.trailladder.testkit.StandIn.Fault;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;

/** Promise: an accepted table change is in force everywhere within seconds and never reverts. */
class TableFaultTest {
    private static final List<String> CENTRES = List.of("baires-a", "baires-b");

    private static Deployment twoDataCentres() throws Exception {
        Deployment system = new Deployment();
        system.table(List.of("banco-sur"), CENTRES);
        system.entry("baires-a");
        system.entry("baires-b");
        system.awaitReady();
        return system;
    }

    private static Row row(int weight) {
        Row row = Deployment.row("banco-sur", Deployment.MODEL, TargetKind.MODEL, CENTRES);
        return new Row(
                row.organisation(),
                row.target(),
                row.kind(),
                row.dataCentres(),
                weight,
                0,
                1200,
                true,
                row.keySha256());
    }

    private static CompletableFuture<Either<CommitFailure, TableChange>> commit(
            Deployment system, Table base, int operator) {
        return system.tables()
                .commit(
                        base,
                        "op-" + operator,
                        "op-" + operator,
                        List.of(row(operator)),
                        List.of());
    }

    private static void awaitEverywhere(Deployment system, long revision) {
        for (EntryDaemon entry : system.entries) {
            Deployment.await(() -> entry.status().tableRevision() >= revision);
        }
    }

    @Example
    void ofTwoAndOfFiveOperatorsAtOnceExactlyOneWins() throws Exception {
        try (Deployment system = twoDataCentres()) {
            for (int operators : List.of(2, 5)) {
                Table base = system.tables().load().join();
                List<CompletableFuture<Either<CommitFailure, TableChange>>> edits =
                        new ArrayList<>();
                for (int i = 1; i <= operators; i++) {
                    edits.add(commit(system, base, (int) base.revision() * 10 + i));
                }
                List<Either<CommitFailure, TableChange>> done =
                        edits.stream().map(CompletableFuture::join).toList();
                assertEquals(1, done.stream().filter(Either::isRight).count());
                TableChange winner =
                        done.stream().filter(Either::isRight).findFirst().orElseThrow().get();
                for (Either<CommitFailure, TableChange> other : done) {
                    if (other.isLeft()) {
                        assertEquals(new CommitFailure.Lost(winner), other.getLeft());
                    }
                }
                awaitEverywhere(system, winner.revision());
                assertEquals(winner.changeId(), system.tables().load().join().changeId());
            }
        }
    }

    @Example
    void commitWhoseAnswersAreLostIsFoundByItsIdAndCountsOnce() throws Exception {
        try (Deployment system = twoDataCentres()) {
            for (int lost = 1; lost <= 4; lost++) {
                Table base = system.tables().load().join();
                system.keyValue.fault(new Fault("lost", lost, 0, 0));
                Either<CommitFailure, TableChange> result = commit(system, base, 100 + lost).join();
                system.keyValue.fault(new Fault("none", 0, 0, 0));
                Table after = system.tables().load().join();
                boolean committed = after.changeId().equals("op-" + (100 + lost));
                if (result.isRight()) {
                    assertTrue(committed, "told committed");
                } else if (!(result.getLeft() instanceof CommitFailure.Unknown)) {
                    assertEquals(base.revision(), after.revision(), "told not committed");
                }
            }
        }
    }

    @Example
    void platformDownChangesNothingAndNothingReverts() throws Exception {
        try (Deployment system = twoDataCentres()) {
            Table base = system.tables().load().join();
            commit(system, base, 7).join();
            awaitEverywhere(system, base.revision() + 1);
            system.keyValue.fault(new Fault("down", Integer.MAX_VALUE, 0, 0));
            Either<CommitFailure, TableChange> refused = commit(system, base, 8).join();
            assertTrue(refused.isLeft());
            EntryDaemon known = system.entries.get(0);
            EntryDaemon fresh = system.entry("baires-b", List.of(known.self().peerAddress()));
            Deployment.await(() -> fresh.status().tableRevision() == base.revision() + 1);
            system.entries.forEach(
                    entry -> assertEquals(base.revision() + 1, entry.status().tableRevision()));
        }
    }

    @Example
    void dataCentreCutFromPeersGetsChangesFromThePlatform() throws Exception {
        try (Deployment system = twoDataCentres()) {
            EntryDaemon cut = system.entries.get(1);
            cut.links().cut(true);
            Table base = system.tables().load().join();
            commit(system, base, 9).join();
            awaitEverywhere(system, base.revision() + 1);
            cut.links().cut(false);
            assertEquals(base.revision() + 1, cut.status().tableRevision());
        }
    }

    @Example
    void narrowedRowEndsRunningStreamsWhereItIsNoLongerAllowed() throws Exception {
        try (Deployment system = new Deployment()) {
            system.engine("e-1", "baires-a");
            system.table(List.of("banco-sur"), CENTRES);
            EntryDaemon entry = system.entry("baires-a");
            system.awaitReady();
            Caller caller = new Caller(entry.self().callerAddress(), Deployment.key("banco-sur"));
            Caller.Streamed answer =
                    caller.stream(
                            "estrecha",
                            2_000,
                            token -> {
                                if (token == 30) {
                                    system.table(List.of("banco-sur"), List.of("baires-b"));
                                }
                            });
            assertTrue(!answer.whole() && answer.tokens() < 2_000);
            Deployment.await(() -> system.engines.get("e-1").cancelled() > 0);
            int status = caller.stream("otra", 5, token -> {}).status();
            assertEquals(503, status, "no entry is live where the row allows");
        }
    }
}
