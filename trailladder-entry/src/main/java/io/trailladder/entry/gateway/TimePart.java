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

import io.trailladder.core.time.AgreedTime;
import io.trailladder.core.time.TimeVote;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The time of day on which the processes agree, exchanged with digests. The latency of a digest,
 * some milliseconds, is not compensated for: it is less than a thousandth of a usage window.
 */
final class TimePart extends Clock implements DigestPart {
    private static final int BYTES = Long.BYTES + Integer.BYTES;

    /**
     * Minimum difference between the own clock and the agreed time at which the log reports that
     * the own clock is not followed, in milliseconds.
     */
    private static final long LOGGED_DIFFERENCE_MILLIS = 200;

    private final Clock own;
    private final LongSupplier steadyMillis;
    private final AgreedTime agreed = new AgreedTime();
    private boolean differs;

    /**
     * Creates the part of a process that has received no votes.
     *
     * @param own the time of day of this process
     * @param steadyMillis a clock that never jumps, in milliseconds
     */
    TimePart(Clock own, LongSupplier steadyMillis) {
        this.own = own;
        this.steadyMillis = steadyMillis;
    }

    @Override
    public String name() {
        return "time";
    }

    @Override
    public int version() {
        return 1;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        TimeVote vote = agreed.vote(ownOffset(), peers);
        byte[] body =
                ByteBuffer.allocate(BYTES)
                        .putLong(steadyMillis.getAsLong() + vote.offsetMillis())
                        .putInt(vote.voters())
                        .array();
        return Optional.of(new DigestSection(name(), version(), 0, body));
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        if (section.body().length != BYTES) {
            throw new IOException(section.body().length + " bytes, expected " + BYTES);
        }
        ByteBuffer body = ByteBuffer.wrap(section.body());
        long offset = body.getLong() - steadyMillis.getAsLong();
        TimeVote vote = new TimeVote(offset, body.getInt());
        if (!vote.isValid()) {
            throw new IOException(
                    "invalid number of voters: "
                            + vote.voters()
                            + ", expected a positive number within the maximum");
        }
        agreed.reported(peer, vote);
    }

    @Override
    public void forget(String peer) {
        agreed.remove(peer);
    }

    @Override
    public long millis() {
        long ownMillis = own.millis();
        long millis = agreed.millis(steadyMillis.getAsLong(), ownOffset());
        boolean differsNow = Math.abs(millis - ownMillis) > LOGGED_DIFFERENCE_MILLIS;
        if (differsNow != differs) {
            differs = differsNow;
            String what = differsNow ? "is not followed" : "is followed again";
            DecisionLog.write(new Lifecycle("own clock", what, (ownMillis - millis) + " ms ahead"));
        }
        return millis;
    }

    /** Returns the time of day relative to the steady clock, in milliseconds; it may step back. */
    long offsetMillis() {
        return agreed.offsetMillis(ownOffset());
    }

    /** Returns whether the time is that of several processes. */
    boolean isAgreed() {
        agreed.offsetMillis(ownOffset());
        return agreed.isAgreed();
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public ZoneId getZone() {
        return own.getZone();
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return new TimePart(own.withZone(zone), steadyMillis);
    }

    private long ownOffset() {
        return own.millis() - steadyMillis.getAsLong();
    }
}
