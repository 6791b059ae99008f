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
 * The time of day by the median of what processes see, so that counts by time of day go to the
 * right window at a process whose own clock was wrong when it started.
 *
 * <p>The time never goes backward: after a step back it stands still until it is reached again.
 *
 * <pre>{@code
 * AgreedTime time = new AgreedTime();
 * time.told("hub-1", new TimeVote(9_990, 70));
 * long millis = time.millis(steadyMillis, 12_400); // by the hub, not by the own clock
 * }</pre>
 *
 * @since 0.3
 */
public final class AgreedTime {
    /**
     * Fewest processes, this one included, whose median is believed more than the own clock: one
     * wrong clock among them is outvoted.
     */
    public static final int MIN_VOTERS = 3;

    /**
     * Change of the own clock from which on the median is worked out anew, in milliseconds: it is
     * asked for with each request, and clocks that are read to the millisecond move by one.
     */
    private static final long RECOMPUTE_CHANGE_MILLIS = 5;

    private final Map<String, TimeVote> reported = new HashMap<>();
    private TimeVote agreed = new TimeVote(0, 1);
    private long agreedOwnOffsetMillis = Long.MIN_VALUE;
    private long lastMillis = Long.MIN_VALUE;

    /**
     * Takes over what a peer tells in place of what it told before.
     *
     * @param peer the peer's name
     * @param vote the time as the peer, and those it speaks for, see it, by the steady clock here
     */
    public void reported(String peer, TimeVote vote) {
        if (vote.isValid()) {
            reported.put(peer, vote);
            agreedOwnOffsetMillis = Long.MIN_VALUE;
        }
    }

    /**
     * Forgets what a peer told.
     *
     * @param peer the peer's name
     */
    public void remove(String peer) {
        reported.remove(peer);
        agreedOwnOffsetMillis = Long.MIN_VALUE;
    }

    /**
     * Returns the time of day.
     *
     * @param steadyMillis the steady clock, in milliseconds
     * @param ownOffsetMillis what the own clock is ahead of the steady one, in milliseconds
     * @return milliseconds since the start of 1970; never less than before
     */
    public long millis(long steadyMillis, long ownOffsetMillis) {
        boolean stale = agreedOwnOffsetMillis == Long.MIN_VALUE;
        if (stale || Math.abs(ownOffsetMillis - agreedOwnOffsetMillis) > RECOMPUTE_CHANGE_MILLIS) {
            agreed = median(ownOffsetMillis, reported.values());
            agreedOwnOffsetMillis = ownOffsetMillis;
        }
        boolean believed = agreed.voters() >= MIN_VOTERS;
        long offset = believed ? agreed.offsetMillis() : ownOffsetMillis;
        lastMillis = Math.max(lastMillis, steadyMillis + offset);
        return lastMillis;
    }

    /**
     * Returns the vote of this process and some peers.
     *
     * @param ownOffsetMillis what the own clock is ahead of the steady one, in milliseconds
     * @param peers the peers' names
     * @return their median, and how many processes it speaks for
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

    /** The median by voters, so that a hub's vote weighs as much as the processes behind it. */
    private static TimeVote median(long ownOffsetMillis, Collection<TimeVote> others) {
        List<TimeVote> votes = new ArrayList<>(others);
        votes.add(new TimeVote(ownOffsetMillis, 1));
        votes.sort(Comparator.comparingLong(TimeVote::offsetMillis));
        int voters = votes.stream().mapToInt(TimeVote::voters).sum();
        int passed = 0;
        for (TimeVote vote : votes) {
            passed += vote.voters();
            if (2 * passed > voters) {
                return new TimeVote(vote.offsetMillis(), Math.min(voters, TimeVote.MAX_VOTERS));
            }
        }
        throw new IllegalStateException("no median of " + votes);
    }
}
