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
package io.trailladder.core.time;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The time of day by the median of the clocks of all processes, so that counts by time of day are
 * assigned to the right window in a process whose own clock was wrong when it started.
 *
 * <p>The time never goes backward: after a step back it stands still until it is reached again.
 *
 * <pre>{@code
 * AgreedTime time = new AgreedTime();
 * time.reported("hub-1", new TimeVote(9_990, 70));
 * long millis = time.millis(steadyMillis, 12_400); // by the hub, not by the own clock
 * }</pre>
 *
 * @since 0.3
 */
public final class AgreedTime {
    /**
     * Minimum number of processes, this one included, whose median replaces the own clock: one
     * wrong clock among them is outvoted.
     */
    public static final int MIN_VOTERS = 3;

    /**
     * Change of the own clock above which the median is computed again, in milliseconds. The time
     * is read for each request, and clocks with a resolution of one millisecond vary by one.
     */
    private static final long RECOMPUTE_CHANGE_MILLIS = 5;

    private final Map<String, TimeVote> reported = new HashMap<>();
    private TimeVote agreed = new TimeVote(0, 1);
    private long agreedOwnOffsetMillis = Long.MIN_VALUE;
    private long lastMillis = Long.MIN_VALUE;

    /**
     * Records the vote of a peer, which replaces its previous one. An invalid vote is ignored.
     *
     * @param peer the name of the peer
     * @param vote the time of day as the peer and the processes that it represents see it, relative
     *     to the steady clock of this process
     */
    public void reported(String peer, TimeVote vote) {
        if (vote.isValid()) {
            reported.put(peer, vote);
            agreedOwnOffsetMillis = Long.MIN_VALUE;
        }
    }

    /**
     * Removes the vote of a peer.
     *
     * @param peer the name of the peer
     */
    public void remove(String peer) {
        reported.remove(peer);
        agreedOwnOffsetMillis = Long.MIN_VALUE;
    }

    /**
     * Returns the time of day.
     *
     * @param steadyMillis the steady clock, in milliseconds
     * @param ownOffsetMillis the offset of the own clock from the steady clock, in milliseconds
     * @return milliseconds since the start of 1970; never less than before
     */
    public long millis(long steadyMillis, long ownOffsetMillis) {
        lastMillis = Math.max(lastMillis, steadyMillis + offsetMillis(ownOffsetMillis));
        return lastMillis;
    }

    /**
     * Returns the time of day relative to the steady clock. Unlike {@link #millis}, it may step
     * back.
     *
     * @param ownOffsetMillis the offset of the own clock from the steady clock, in milliseconds
     * @return the offset, in milliseconds
     */
    public long offsetMillis(long ownOffsetMillis) {
        boolean stale = agreedOwnOffsetMillis == Long.MIN_VALUE;
        if (stale || Math.abs(ownOffsetMillis - agreedOwnOffsetMillis) > RECOMPUTE_CHANGE_MILLIS) {
            agreed = median(ownOffsetMillis, reported.values());
            agreedOwnOffsetMillis = ownOffsetMillis;
        }
        return isAgreed() ? agreed.offsetMillis() : ownOffsetMillis;
    }

    /**
     * Returns whether enough processes were heard for the time not to be that of the own clock.
     *
     * @return false until {@value #MIN_VOTERS} processes, this one included, were heard
     */
    public boolean isAgreed() {
        return agreed.voters() >= MIN_VOTERS;
    }

    /**
     * Returns the vote of this process and some peers.
     *
     * @param ownOffsetMillis the offset of the own clock from the steady clock, in milliseconds
     * @param peers the names of the peers
     * @return their median, and the number of processes that it represents
     */
    public TimeVote vote(long ownOffsetMillis, Collection<String> peers) {
        List<TimeVote> votes = new ArrayList<>(peers.size());
        for (String peer : peers) {
            TimeVote vote = reported.get(peer);
            if (vote != null) {
                votes.add(vote);
            }
        }
        return median(ownOffsetMillis, votes);
    }

    /**
     * Returns the median weighted by voters, so that the vote of a hub weighs as much as the
     * processes that it represents.
     */
    private static TimeVote median(long ownOffsetMillis, Collection<TimeVote> others) {
        List<TimeVote> votes = new ArrayList<>(others);
        votes.add(new TimeVote(ownOffsetMillis, 1));
        votes.sort(Comparator.comparingLong(TimeVote::offsetMillis));
        int voters = votes.stream().mapToInt(TimeVote::voters).sum();
        int cumulativeVoters = 0;
        for (TimeVote vote : votes) {
            cumulativeVoters += vote.voters();
            if (2 * cumulativeVoters > voters) {
                return new TimeVote(vote.offsetMillis(), Math.min(voters, TimeVote.MAX_VOTERS));
            }
        }
        throw new IllegalStateException("no median of " + votes);
    }
}
