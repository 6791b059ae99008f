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
package io.trailladder.core.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Counts the requests that began to run, by window and organisation: this entry's own and what its
 * peers told of theirs, so that the counts of a lost entry survive at the others.
 *
 * @since 0.2
 */
public final class UsageLedger {
    private static final long RETAINED_WINDOWS = 8;

    private final String self;
    private final long windowMillis;
    private final Map<String, NavigableMap<Long, Map<String, Integer>>> byEntry = new HashMap<>();

    /** The latest change of each count, by its number, so that few are looked at for the last. */
    private final NavigableMap<Long, Change> changes = new TreeMap<>();

    private final Map<Key, Long> latestNumbers = new HashMap<>();
    private long sequence;
    private long oldestWindow = Long.MIN_VALUE;

    /** Whom this entry has to tell of a change, each among those that follow. */
    private enum Audience {
        /** Those that keep all counts, lest these are lost with the others. */
        REPLICAS,
        /** Other regions. */
        REGIONS,
        /** All hubs. */
        HUBS
    }

    /** A count that has changed, and who has to be told. */
    private record Change(Key key, Audience audience) {}

    /**
     * Names one count. Equality is written out: the methods that records get are linked at their
     * first call, which takes a process that starts some 5 ms of processor time for each record.
     */
    private record Key(String entry, long window, String organisation) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that
                    && window == that.window
                    && entry.equals(that.entry)
                    && organisation.equals(that.organisation);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * entry.hashCode() + Long.hashCode(window)) + organisation.hashCode();
        }
    }

    /**
     * Creates a ledger.
     *
     * @param self names this life of this entry; a restarted entry has another name
     * @param windowMillis length of a window, in milliseconds
     */
    public UsageLedger(String self, long windowMillis) {
        this.self = self;
        this.windowMillis = windowMillis;
    }

    /**
     * Records that a request of this entry began to run.
     *
     * @param organisation whose it is
     * @param wallMillis when, in milliseconds since the start of 1970
     */
    public void started(String organisation, long wallMillis) {
        long window = windowAt(wallMillis);
        counts(self, window).merge(organisation, 1, Integer::sum);
        changed(new Key(self, window, organisation), Audience.HUBS);
    }

    /**
     * Takes over an entry's counts. Counts only grow within the life of an entry.
     *
     * @param entry names the life of the entry
     * @param counts its counts of recent windows
     * @param passOn true if this entry has to tell others of them
     */
    public void merge(String entry, List<UsageCount> counts, boolean passOn) {
        merge(entry, counts, passOn ? Audience.HUBS : Audience.REGIONS);
    }

    /**
     * Takes over counts of an entry of another region, which are not told to other regions again.
     *
     * @param entry names the life of the entry
     * @param counts its counts of recent windows
     */
    public void mergeFromOtherRegion(String entry, List<UsageCount> counts) {
        merge(entry, counts, Audience.REPLICAS);
    }

    private void merge(String entry, List<UsageCount> counts, Audience audience) {
        for (UsageCount count : counts) {
            Map<String, Integer> window = counts(entry, count.window());
            int before = window.getOrDefault(count.organisation(), 0);
            if (count.started() > before) {
                window.put(count.organisation(), count.started());
                changed(new Key(entry, count.window(), count.organisation()), audience);
            }
        }
    }

    /**
     * Returns the number of the latest change that others are to be told of.
     *
     * @return a number that grows with every change
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the counts that have changed and that hubs have to be told of, by entry.
     *
     * @param after the number of the latest change that was told
     * @return the counts as they are now
     */
    public Map<String, List<UsageCount>> changesAfter(long after) {
        return changesAfter(after, Audience.HUBS);
    }

    /**
     * Returns the counts of the own region that have changed, by entry.
     *
     * @param after the number of the latest change that was told
     * @return the counts as they are now
     */
    public Map<String, List<UsageCount>> regionChangesAfter(long after) {
        return changesAfter(after, Audience.REGIONS);
    }

    /**
     * Returns all counts that have changed, by entry, for one that is to know them as well.
     *
     * @param after the number of the latest change that was told
     * @return the counts as they are now
     */
    public Map<String, List<UsageCount>> allChangesAfter(long after) {
        return changesAfter(after, Audience.REPLICAS);
    }

    private Map<String, List<UsageCount>> changesAfter(long after, Audience audience) {
        Map<String, List<UsageCount>> news = new TreeMap<>();
        for (Change change : changes.tailMap(after, false).values()) {
            if (change.audience().compareTo(audience) >= 0) {
                Key key = change.key();
                int started = counts(key.entry(), key.window()).get(key.organisation());
                news.computeIfAbsent(key.entry(), entry -> new ArrayList<>())
                        .add(new UsageCount(key.window(), key.organisation(), started));
            }
        }
        return news;
    }

    /**
     * Returns the counts of one life of an entry.
     *
     * @param entry names the life
     * @return counts of recent windows
     */
    public List<UsageCount> countsOf(String entry) {
        List<UsageCount> counts = new ArrayList<>();
        windows(entry)
                .forEach(
                        (window, organisations) ->
                                organisations.forEach(
                                        (organisation, started) ->
                                                counts.add(
                                                        new UsageCount(
                                                                window, organisation, started))));
        return counts;
    }

    /**
     * Returns the counts of all entries together.
     *
     * @param window the window's number
     * @return requests by organisation
     */
    public Map<String, Integer> total(long window) {
        Map<String, Integer> total = new TreeMap<>();
        byEntry.values()
                .forEach(
                        windows ->
                                windows.getOrDefault(window, Map.of())
                                        .forEach(
                                                (organisation, started) ->
                                                        total.merge(
                                                                organisation,
                                                                started,
                                                                Integer::sum)));
        return total;
    }

    /**
     * Returns the window of a time.
     *
     * @param wallMillis milliseconds since the start of 1970
     * @return its number
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Returns the entries whose counts are known.
     *
     * @return names of lives of entries
     */
    public List<String> entries() {
        return List.copyOf(byEntry.keySet());
    }

    /**
     * Forgets windows that were reported long ago.
     *
     * @param wallMillis the time
     */
    public void removeOldWindows(long wallMillis) {
        long oldest = windowAt(wallMillis) - RETAINED_WINDOWS;
        if (oldest == oldestWindow) {
            return;
        }
        oldestWindow = oldest;
        changes.values().removeIf(change -> change.key().window() < oldest);
        latestNumbers.keySet().removeIf(key -> key.window() < oldest);
        byEntry.values().forEach(windows -> windows.headMap(oldest).clear());
        byEntry.entrySet()
                .removeIf(entry -> entry.getValue().isEmpty() && !entry.getKey().equals(self));
    }

    /** A change that was to be told to more, and may not have been told yet, stays so. */
    private void changed(Key key, Audience audience) {
        sequence++;
        Long before = latestNumbers.put(key, sequence);
        Change replaced = before == null ? null : changes.remove(before);
        boolean wider = replaced != null && replaced.audience().compareTo(audience) > 0;
        changes.put(sequence, new Change(key, wider ? replaced.audience() : audience));
    }

    private Map<String, Integer> counts(String entry, long window) {
        return windows(entry).computeIfAbsent(window, number -> new HashMap<>());
    }

    private NavigableMap<Long, Map<String, Integer>> windows(String entry) {
        return byEntry.computeIfAbsent(entry, name -> new TreeMap<>());
    }
}
