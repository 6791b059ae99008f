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
 * Writes and reads the reports that peers exchange about upstreams' limits. The times of answers
 * are written as ages, since each process has its own clock; the time of a use is by the clock on
 * which all agree.
 */
final class LimitReports {
    /** Marks a limit that the upstream no longer names. */
    private static final double ENDED = -1;

    private static final int NUMBERS_BYTES =
            Short.BYTES + 2 * Long.BYTES + Double.BYTES + 2 * Integer.BYTES;

    private LimitReports() {}

    /** Writes the reports in their order, as many as fit into the given number of bytes. */
    static byte[] write(List<LimitReport> reports, int maxBytes, long nowMillis) {
        ByteBuffer bytes = ByteBuffer.allocate(maxBytes);
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
     * @param body the bytes written by {@link #write}
     * @param nowMillis the time that the ages refer to, in milliseconds
     * @return the reports
     * @throws IOException if any of them is invalid
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
            throw new IOException(
                    "invalid length of an upstream name: "
                            + length
                            + " bytes, expected 1 up to the bytes left");
        }
        return length;
    }

    private static LimitNotice limit(double perSecond) throws IOException {
        if (perSecond == ENDED) {
            return LimitNotice.ABSENT;
        }
        if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
            throw new IOException(
                    "invalid limit: "
                            + perSecond
                            + " requests per second, expected a finite number from 0");
        }
        return LimitNotice.of(perSecond);
    }

    private static int age(int millis) throws IOException {
        if (millis < 0) {
            throw new IOException("invalid age: " + millis + " ms, expected at least 0");
        }
        return millis;
    }
}
