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

import io.trailladder.core.table.HandlingPolicy.Handling;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** A body is read only where the organisation's data may be handled. */
class HandlingPolicyTest {
    private static Row row(String target, String... dataCentres) {
        return new Row(
                "banco-sur",
                target,
                TargetKind.MODEL,
                List.of(dataCentres),
                1,
                0,
                1200,
                true,
                "ab".repeat(32));
    }

    private static Handling decide(Optional<String> target, Row... rows) {
        Table table = Table.of(1, "c1", List.of(rows));
        return HandlingPolicy.decide(table, "banco-sur", target, "baires-a");
    }

    @Example
    void readHereIfEveryRowAllowsIt() {
        Handling here = decide(Optional.empty(), row("m1", "baires-a"), row("m2", "baires-a"));
        assertEquals(new Handling.Here(), here);
    }

    @Example
    void notReadHereIfOneRowForbidsIt() {
        Handling handling =
                decide(Optional.empty(), row("m1", "baires-a", "baires-b"), row("m2", "baires-b"));
        assertEquals(new Handling.Elsewhere(List.of("baires-b")), handling);
    }

    @Example
    void callerMustNameTheModelIfNoDataCentreIsCommon() {
        assertEquals(
                new Handling.TargetRequired(),
                decide(Optional.empty(), row("m1", "baires-a"), row("m2", "baires-b")));
        assertEquals(
                new Handling.Elsewhere(List.of("baires-b")),
                decide(Optional.of("m2"), row("m1", "baires-a"), row("m2", "baires-b")));
    }

    @Example
    void modelOfAnotherOrganisationIsNotAllowed() {
        assertEquals(new Handling.NotAllowed(), decide(Optional.of("m9"), row("m1", "baires-a")));
    }
}
