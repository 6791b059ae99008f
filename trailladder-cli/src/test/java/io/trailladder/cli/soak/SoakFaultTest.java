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
package io.trailladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;

/** A short run of the soak, with a fixed seed; {@code bin/soak} runs many. */
class SoakFaultTest {
    private static final long SEED = 20_261_202;
    private static final long MILLIS = 6_000;

    @Example
    void promisesHoldUnderFaultsFromOutside() throws Exception {
        SoakRun.Result result = SoakMain.run(SEED, 3, MILLIS);
        assertEquals(List.of(), result.violations(), "faults " + result.faults());
        assertTrue(result.served() > 0, "some requests were served");
    }
}
