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
 * Counts the requests that started to run, by window and organisation: those of this entry and
 * those reported by its peers, so that the counts of a lost entry are kept by the others.
 *
 * @since 0.2
 */
public final class UsageLedger {
    private static final long RETAINED_WINDOWS = 8;

    private final String self;
    private final long windowMillis;
    private final Map<String, NavigableMap<Long, Map<String, Integer>>> byEntry = new HashMap<>();

    /**
     * The latest change of each count by its number, so that only changes after a given number are
     * read.
     */
    private final NavigableMap<Long, Change> changes = new TreeMap<>();

    private final Map<Key, Long> latestNumbers = new HashMap<>();
    private long sequence;
    private long oldestWindow = Long.MIN_VALUE;

    /**
     * Recipients of a change. A change is also reported to the recipients of the constants before
     * its own.
     */
    private enum Audience {
        /** Usage replicas, which store all counts in case the other entries are lost. */
        REPLICAS,
        /** The other regions. */
        REGIONS,
        /** All hubs. */
        HUBS
    }

    /** A changed count and its recipients. */
    private record Change(Key key, Audience audience) {}

    /**
     * Identifies one count. Equality is explicit, since the generated record methods are linked at
     * their first call, which adds about 5 ms of processor time for each record to the start of a
     * process.
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
     * @param self identifies this incarnation of this entry; a restarted entry has another name
     * @param windowMillis length of a window, in milliseconds
     */
    public UsageLedger(String self, long windowMillis) {
        this.self = self;
        this.windowMillis = windowMillis;
    }

    /**
     * Records that a request of this entry started to run.
     *
     * @param organisation the organisation of the request
     * @param wallMillis the start, in milliseconds since the start of 1970
     */
    public void started(String organisation, long wallMillis) {
        long window = windowAt(wallMillis);
        counts(self, window).merge(organisation, 1, Integer::sum);
        changed(new Key(self, window, organisation), Audience.HUBS);
    }

    /**
     * Merges the counts of an entry. Counts only grow within an incarnation of an entry.
     *
     * @param entry identifies the incarnation of the entry
     * @param counts its counts of recent windows
     * @param passOn true if this entry must report them to the hubs
     */
    public void merge(String entry, List<UsageCount> counts, boolean passOn) {
        merge(entry, counts, passOn ? Audience.HUBS : Audience.REGIONS);
    }

    /**
     * Merges counts of an entry of another region, which are not reported to other regions again.
     *
     * @param entry identifies the incarnation of the entry
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
     * Returns the number of the latest change.
     *
     * @return a number that grows with every change
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns the changed counts that must be reported to hubs, by entry.
     *
     * @param after the number of the latest change reported before
     * @return the current counts
     */
    public Map<String, List<UsageCount>> changesAfter(long after) {
        return changesAfter(after, Audience.HUBS);
    }

    /**
     * Returns the changed counts of the own region, by entry.
     *
     * @param after the number of the latest change reported before
     * @return the current counts
     */
    public Map<String, List<UsageCount>> regionChangesAfter(long after) {
        return changesAfter(after, Audience.REGIONS);
    }

    /**
     * Returns all changed counts, by entry, for a usage replica.
     *
     * @param after the number of the latest change reported before
     * @return the current counts
     */
    public Map<String, List<UsageCount>> allChangesAfter(long after) {
        return changesAfter(after, Audience.REPLICAS);
    }

    private Map<String, List<UsageCount>> changesAfter(long after, Audience audience) {
        Map<String, List<UsageCount>> changedCounts = new TreeMap<>();
        for (Change change : changes.tailMap(after, false).values()) {
            if (change.audience().compareTo(audience) >= 0) {
                Key key = change.key();
                int started = counts(key.entry(), key.window()).get(key.organisation());
                changedCounts
                        .computeIfAbsent(key.entry(), entry -> new ArrayList<>())
                        .add(new UsageCount(key.window(), key.organisation(), started));
            }
        }
        return changedCounts;
    }

    /**
     * Returns the counts of one incarnation of an entry.
     *
     * @param entry identifies the incarnation
     * @return the counts of recent windows
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
     * Returns the total counts of all entries.
     *
     * @param window the number of the window
     * @return the number of requests by organisation
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
     * Returns the window that contains a time.
     *
     * @param wallMillis the time, in milliseconds since the start of 1970
     * @return the number of the window
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Returns the entries with known counts.
     *
     * @return the identifiers of incarnations of entries
     */
    public List<String> entries() {
        return List.copyOf(byEntry.keySet());
    }

    /**
     * Removes windows that are more than {@code RETAINED_WINDOWS} old, which were reported long
     * ago.
     *
     * @param wallMillis the current time, in milliseconds since the start of 1970
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

    /**
     * Records a change. A previous change of the same count keeps its wider audience, since it may
     * not have been reported yet.
     */
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
