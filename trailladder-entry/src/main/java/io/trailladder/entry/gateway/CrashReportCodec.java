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

import io.trailladder.core.crash.CrashHistory;
import io.trailladder.core.crash.CrashLedger;
import io.trailladder.core.crash.CrashReport;
import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.crash.UpstreamEnd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes reports of requests that end upstreams, for peers and for the store. Times
 * are written as ages in milliseconds, since each process has its own clock.
 */
final class CrashReportCodec {
    private static final int NEVER = -1;
    private static final int END_BYTES = Long.BYTES + 1 + 2 * Integer.BYTES;
    private static final int HEAD_BYTES = Long.BYTES + 1 + Integer.BYTES + 1;

    private CrashReportCodec() {}

    /** Encodes as many reports, in their order, as fit into {@code maxBytes} bytes. */
    static byte[] write(List<CrashReport> reports, int maxBytes, long nowMillis) {
        ByteBuffer bytes = ByteBuffer.allocate(maxBytes);
        for (CrashReport report : reports) {
            int endBytes = END_BYTES + (report.request().isPart() ? Integer.BYTES : 0);
            if (bytes.remaining() < HEAD_BYTES + report.ends().size() * endBytes) {
                break;
            }
            write(bytes, report, nowMillis);
        }
        byte[] written = new byte[bytes.position()];
        bytes.flip().get(written);
        return written;
    }

    private static void write(ByteBuffer bytes, CrashReport report, long nowMillis) {
        boolean cleared = report.clearedMillis() != CrashReport.NEVER;
        bytes.putLong(report.request().value());
        bytes.put((byte) report.request().position());
        bytes.putInt(cleared ? clampMillis(nowMillis - report.clearedMillis()) : NEVER);
        bytes.put((byte) report.ends().size());
        for (UpstreamEnd end : report.ends()) {
            bytes.putLong(end.incarnation());
            bytes.put((byte) end.earlierEnds());
            bytes.putInt(clampMillis(nowMillis - end.atMillis()));
            bytes.putInt(clampMillis(end.ranMillis()));
            if (report.request().isPart()) {
                bytes.putInt(end.request());
            }
        }
    }

    private static int clampMillis(long millis) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, millis));
    }

    /**
     * Decodes reports.
     *
     * @param bytes the encoded reports
     * @param nowMillis the time from which the ages are subtracted, in milliseconds
     * @return the reports
     * @throws IOException if any of the reports is invalid
     */
    static List<CrashReport> read(ByteBuffer bytes, long nowMillis) throws IOException {
        return ReportBytes.readAll(bytes, report -> readOne(report, nowMillis));
    }

    private static CrashReport readOne(ByteBuffer bytes, long nowMillis) throws IOException {
        long value = bytes.getLong();
        int position = bytes.get();
        if (position < 0) {
            throw new IOException("position " + position + ", expected 0 to 127");
        }
        RequestTrait request = new RequestTrait(value, position);
        int clearedAge = bytes.getInt();
        int count = bytes.get();
        if (count < 0 || count > CrashHistory.MAX_ENDS) {
            throw new IOException(count + " ends, expected 0 to " + CrashHistory.MAX_ENDS);
        }
        List<UpstreamEnd> ends = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long upstream = bytes.getLong();
            int repeat = Byte.toUnsignedInt(bytes.get());
            long at = nowMillis - checkedAge(bytes.getInt());
            int ran = checkedAge(bytes.getInt());
            ends.add(
                    new UpstreamEnd(
                            upstream, repeat, at, ran, request.isPart() ? bytes.getInt() : 0));
        }
        long cleared = clearedAge == NEVER ? CrashReport.NEVER : nowMillis - checkedAge(clearedAge);
        return new CrashReport(request, cleared, ends);
    }

    private static int checkedAge(int millis) throws IOException {
        if (millis < 0 || millis > CrashLedger.REFUSED_RETENTION_MILLIS) {
            throw new IOException("age out of range: " + millis + " ms");
        }
        return millis;
    }
}
