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

import io.trailladder.core.upstream.LimitNotice;
import io.trailladder.core.upstream.LimitReport;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The form in which peers tell each other of upstreams' limits. Times of answers are written as
 * ages, since each process has a clock of its own; that of a use is agreed.
 */
final class LimitReports {
    /** Stands for a limit that is not named any more. */
    private static final double ENDED = -1;

    private static final int NUMBERS_BYTES =
            Short.BYTES + 2 * Long.BYTES + Double.BYTES + 2 * Integer.BYTES;

    private LimitReports() {}

    /** Writes as many reports, in their order, as fit into so many bytes. */
    static byte[] write(List<LimitReport> reports, int mostBytes, long nowMillis) {
        ByteBuffer bytes = ByteBuffer.allocate(mostBytes);
        for (LimitReport report : reports) {
            byte[] name = report.upstream().getBytes(StandardCharsets.UTF_8);
            if (bytes.remaining() < NUMBERS_BYTES + name.length) {
                break;
            }
            bytes.putShort((short) name.length).put(name);
            bytes.putLong(report.startedMillis());
            bytes.putDouble(report.limit().isNamed() ? report.limit().perSecond() : ENDED);
            bytes.putInt(age(report.sentMillis(), nowMillis));
            bytes.putInt(age(report.receivedMillis(), nowMillis));
            bytes.putLong(report.usedMillis());
        }
        byte[] written = new byte[bytes.position()];
        bytes.flip().get(written);
        return written;
    }

    private static int age(long atMillis, long nowMillis) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, nowMillis - atMillis));
    }

    /**
     * Reads reports.
     *
     * @param body what was written
     * @param nowMillis the time to which ages are taken, in milliseconds
     * @return the reports
     * @throws IOException if any of it is unsound
     */
    static List<LimitReport> read(byte[] body, long nowMillis) throws IOException {
        return ReportBytes.readAll(ByteBuffer.wrap(body), bytes -> readOne(bytes, nowMillis));
    }

    private static LimitReport readOne(ByteBuffer bytes, long nowMillis) throws IOException {
        byte[] name = new byte[length(bytes)];
        bytes.get(name);
        return new LimitReport(
                new String(name, StandardCharsets.UTF_8),
                bytes.getLong(),
                limit(bytes.getDouble()),
                nowMillis - age(bytes.getInt()),
                nowMillis - age(bytes.getInt()),
                bytes.getLong());
    }

    private static int length(ByteBuffer bytes) throws IOException {
        int length = bytes.getShort();
        if (length <= 0 || length > bytes.remaining()) {
            throw new IOException("a name of " + length + " bytes");
        }
        return length;
    }

    private static LimitNotice limit(double perSecond) throws IOException {
        if (perSecond == ENDED) {
            return LimitNotice.ABSENT;
        }
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IOException("a limit of " + perSecond + " requests a second");
        }
        return LimitNotice.of(perSecond);
    }

    private static int age(int millis) throws IOException {
        if (millis < 0) {
            throw new IOException("an age of " + millis + " ms");
        }
        return millis;
    }
}
