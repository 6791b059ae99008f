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

import io.trailladder.core.upstream.LimitNotice;
import io.trailladder.core.upstream.LimitReport;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The form in which limits are told. */
class LimitReportsTest {
    private static final long NOW_MILLIS = 1_000_000;
    private static final int MAX_BYTES = 10_000;
    private static final List<LimitReport> REPORTS =
            List.of(
                    new LimitReport("w-1", 5, LimitNotice.of(0.05), 900_000, 900_010, 999_000),
                    new LimitReport("w-2", 0, LimitNotice.of(0), 1, 2, 3),
                    new LimitReport("\u00fc", 7, LimitNotice.ABSENT, 999_999, 1_000_000, 0));

    @Example
    void readsWhatItWrites() throws IOException {
        byte[] written = LimitReports.write(REPORTS, MAX_BYTES, NOW_MILLIS);
        assertEquals(REPORTS, LimitReports.read(written, NOW_MILLIS));
    }

    /** Peers of later builds must write so for this one to read it. */
    @Example
    void encodingIsStable() {
        byte[] written = LimitReports.write(REPORTS.subList(0, 1), MAX_BYTES, NOW_MILLIS);
        assertEquals(
                "[0, 3, 119, 45, 49, 0, 0, 0, 0, 0, 0, 0, 5, 63, -87, -103, -103, -103, -103, -103,"
                        + " -102, 0, 1, -122, -96, 0, 1, -122, -106, 0, 0, 0, 0, 0, 15, 62, 88]",
                Arrays.toString(written));
    }

    @Example
    void writesNoMoreThanFits() throws IOException {
        for (int most = 0; most < 120; most++) {
            byte[] written = LimitReports.write(REPORTS, most, NOW_MILLIS);
            assertTrue(written.length <= most);
            List<LimitReport> read = LimitReports.read(written, NOW_MILLIS);
            assertEquals(REPORTS.subList(0, read.size()), read);
        }
    }

    @Example
    void invalidReportsAreRefused() {
        byte[] written = LimitReports.write(REPORTS, MAX_BYTES, NOW_MILLIS);
        for (int length = 1; length < written.length; length++) {
            byte[] cut = Arrays.copyOf(written, length);
            boolean whole = length == 37 || length == 74;
            if (!whole) {
                assertThrows(IOException.class, () -> LimitReports.read(cut, NOW_MILLIS));
            }
        }
        for (double limit : new double[] {-2, Double.NaN, Double.POSITIVE_INFINITY}) {
            LimitReport unsound = new LimitReport("w", 0, LimitNotice.of(limit), 0, 0, 0);
            byte[] bytes = LimitReports.write(List.of(unsound), MAX_BYTES, NOW_MILLIS);
            assertThrows(IOException.class, () -> LimitReports.read(bytes, NOW_MILLIS));
        }
    }

    @Property(tries = 2_000, seed = "20261203")
    void anyBytesAreReadOrRefused(@ForAll byte[] bytes) {
        try {
            for (LimitReport report : LimitReports.read(bytes, NOW_MILLIS)) {
                assertTrue(report.receivedMillis() <= NOW_MILLIS);
                assertTrue(report.limit().perSecond() >= 0);
            }
        } catch (IOException e) {
            assertTrue(e.getMessage().length() < 200, e.getMessage());
        }
    }
}
