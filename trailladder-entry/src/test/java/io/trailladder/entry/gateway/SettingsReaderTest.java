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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;

/** Wrong settings are named all at once, with value and expected form. */
class SettingsReaderTest {
    private static final String VALID =
            """
            {"node": {"name": "n", "data_centre": "z", "first_start": true},
             "listen": {"callers": "127.0.0.1:1", "health": "127.0.0.1:2",
                        "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
             "seeds": ["127.0.0.1:5"], "store": "127.0.0.1:6", "cloud": "127.0.0.1:7",
             "retries": {"ratio": 0.2, "allowance": 52, "window_s": 10},
             "timing": {"grace_s": 8, "lease_ms": 3000, "usage_window_s": 5},
             "not_known": 1}
            """;

    @Example
    void readsAllOptionsAndIgnoresUnknownOnes() {
        GatewaySettings settings = SettingsReader.parse("f", VALID);
        assertEquals("n", settings.node().name());
        assertEquals(8_000, settings.timing().graceMillis());
        assertEquals(10_000, settings.retries().windowMillis());
        assertEquals(1, settings.seeds().size());
    }

    @Example
    void reportsEveryInvalidOption() {
        String bad =
                VALID.replace("\"n\"", "\"\"")
                        .replace("127.0.0.1:6", "nowhere")
                        .replace("0.2", "\"much\"");
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("f", bad));
        assertTrue(e.getMessage().contains("option node.name is ''"), e.getMessage());
        assertTrue(e.getMessage().contains("option store is 'nowhere'"), e.getMessage());
        assertTrue(e.getMessage().contains("option retries.ratio is 'much'"), e.getMessage());
    }

    @Example
    void keyOfThePreviousVersionIsRefusedWithItsNewName() {
        String old = VALID.replace("data_centre", "zone");
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("f", old));
        assertTrue(
                e.getMessage()
                        .contains(
                                "option node.zone is 'z', expected it under its new name"
                                        + " node.data_centre"),
                e.getMessage());
    }

    private static final String TWO_REGIONS =
            VALID.replace("\"first_start\"", "\"region\": \"r\", \"first_start\"")
                    .replace(
                            "\"seeds\"",
                            "\"regions\": {\"z\": \"r\", \"y\": \"q\"},"
                                    + " \"capacity\": {\"memory_mb\": 330, \"descriptors\":"
                                    + " 4100}, \"seeds\"");

    @Example
    void readsRegionsAndLimits() {
        GatewaySettings settings = SettingsReader.parse("f", TWO_REGIONS);
        assertEquals("r", settings.regions().own());
        assertEquals("q", settings.regions().byDataCentre().get("y"));
        assertEquals(330L << 20, settings.limits().memoryBytes());
        assertEquals(4_100, settings.limits().descriptors());
        assertEquals(List.of(), settings.notes());
    }

    @Example
    void withoutRegionAndMemoryThereIsOneRegionAndNoLimit() {
        GatewaySettings settings = SettingsReader.parse("f", VALID);
        assertEquals(GatewaySettings.Regions.ONE, settings.regions());
        assertEquals(GatewaySettings.Limits.UNKNOWN, settings.limits());
        assertEquals(2, settings.notes().size(), settings.notes().toString());
    }

    @Example
    void regionTableWithoutTheOwnRegionIsIgnoredWithANote() {
        String bad = TWO_REGIONS.replace("\"z\": \"r\"", "\"x\": \"r\"");
        GatewaySettings settings = SettingsReader.parse("f", bad);
        assertEquals(GatewaySettings.Regions.ONE, settings.regions());
        assertEquals(
                List.of(
                        "option node.region is 'r', expected the region that the option regions has"
                                + " for the own data centre, which is 'null'; all data centres are"
                                + " one region"),
                settings.notes());
    }

    @Example
    void negativeMemoryIsRefused() {
        String bad = TWO_REGIONS.replace("330", "-1");
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("f", bad));
        assertTrue(e.getMessage().contains("option capacity.memory_mb is '-1'"), e.getMessage());
    }

    @Example
    void rolloutsAreOrderedOnlyWhereTheSettingsEnableThem() {
        assertEquals(GatewaySettings.Rollouts.NONE, SettingsReader.parse("f", VALID).rollouts());
        String ordered =
                VALID.replace(
                        "\"not_known\"",
                        "\"rollouts\": {\"share\": 0.1, \"allowance\": 50}, \"x\"");
        assertEquals(
                new GatewaySettings.Rollouts(true, 0.1, 50),
                SettingsReader.parse("f", ordered).rollouts());
        String bad = ordered.replace("0.1", "1.5");
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("f", bad));
        assertTrue(e.getMessage().contains("option rollouts.share is '1.5'"), e.getMessage());
    }

    @Example
    void fileThatIsNotJsonIsRefused() {
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("f", "node = 1"));
        assertTrue(e.getMessage().contains("is no JSON"), e.getMessage());
    }
}
