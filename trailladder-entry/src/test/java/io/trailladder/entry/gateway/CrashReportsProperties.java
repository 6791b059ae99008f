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

import io.trailladder.core.crash.CrashHistory;
import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.crash.UpstreamEnd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the encoding of reports of requests that end upstreams. */
class CrashReportsProperties {
    private static final long NOW_MILLIS = 5_000_000;

    private static List<CrashReport> randomReports(Random random) {
        List<CrashReport> reports = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            List<UpstreamEnd> ends = new ArrayList<>();
            for (int e = random.nextInt(CrashHistory.MAX_ENDS + 1); e > 0; e--) {
                long at = NOW_MILLIS - random.nextInt(1_000_000);
                ends.add(
                        new UpstreamEnd(
                                random.nextLong(), random.nextInt(9), at, random.nextInt(9_000)));
            }
            long cleared =
                    random.nextBoolean() ? CrashReport.NEVER : NOW_MILLIS - random.nextInt(99_999);
            reports.add(new CrashReport(new RequestTrait(random.nextLong()), cleared, ends));
        }
        return reports;
    }

    @Property(tries = 500, seed = "20261203")
    void reportsAreReadBackUnchangedByTheReadersClock(@ForAll long seed) throws IOException {
        List<CrashReport> reports = randomReports(new Random(seed));
        byte[] bytes = CrashReportCodec.write(reports, 100_000, NOW_MILLIS);
        assertEquals(reports, CrashReportCodec.read(ByteBuffer.wrap(bytes), NOW_MILLIS));
    }

    @Property(tries = 200, seed = "20261203")
    void asManyReportsAreWrittenAsFit(@ForAll long seed) throws IOException {
        List<CrashReport> reports = randomReports(new Random(seed));
        int maxBytes = new Random(seed).nextInt(2_000);
        byte[] bytes = CrashReportCodec.write(reports, maxBytes, NOW_MILLIS);
        assertTrue(bytes.length <= maxBytes);
        List<CrashReport> read = CrashReportCodec.read(ByteBuffer.wrap(bytes), NOW_MILLIS);
        assertEquals(reports.subList(0, read.size()), read);
    }

    /** Any bytes are read or refused with an {@link IOException}; nothing else is thrown. */
    @Property(tries = 2_000, seed = "20261203")
    void anyBytesAreReadOrRefused(@ForAll byte[] bytes) {
        try {
            for (CrashReport report : CrashReportCodec.read(ByteBuffer.wrap(bytes), NOW_MILLIS)) {
                assertTrue(report.ends().size() <= CrashHistory.MAX_ENDS);
                report.ends().forEach(end -> assertTrue(end.atMillis() <= NOW_MILLIS));
            }
        } catch (IOException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Example
    void truncatedReportIsRefused() {
        List<CrashReport> reports =
                List.of(
                        new CrashReport(
                                new RequestTrait(7),
                                CrashReport.NEVER,
                                List.of(new UpstreamEnd(1, 0, NOW_MILLIS, 5))));
        byte[] bytes = CrashReportCodec.write(reports, 1_000, NOW_MILLIS);
        for (int length = 1; length < bytes.length; length++) {
            ByteBuffer cut = ByteBuffer.wrap(bytes, 0, length);
            assertThrows(IOException.class, () -> CrashReportCodec.read(cut, NOW_MILLIS));
        }
    }
}
