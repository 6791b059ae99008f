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
package io.trailladder.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.claim.ClaimAction.Propose;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Plans which ranges of keys this entry takes over, hands over or copies to another backup.
 *
 * <p>Every proposal is a compare-and-swap of the whole map, so that two entries may plan at the
 * same time. If an owner is not responding, only a backup that has every claim takes over; a range
 * whose owner and backup are both lost is taken over only when the platform no longer lists either
 * of them.
 *
 * @since 0.1
 */
public final class RangePlanner {
    private final String self;
    private final ClaimRegistry registry;
    private final long retentionMillis;

    /**
     * An entry that can own ranges.
     *
     * @param id its name
     * @param dataCentre the data centre it runs in
     */
    public record Member(String id, String dataCentre) {}

    /**
     * The other entries as this entry sees them.
     *
     * @param live responding entries, including this one unless it is stopping
     * @param registered names of the entries that the platform lists
     */
    public record View(List<Member> live, Set<String> registered) {
        /** Copies both. */
        public View {
            live = List.copyOf(live);
            registered = Set.copyOf(registered);
        }

        boolean isLive(String id) {
            return live.stream().anyMatch(member -> member.id().equals(id));
        }
    }

    /**
     * Creates a planner.
     *
     * @param self this entry's name
     * @param registry the claims of this entry
     * @param retentionMillis time for which claims are kept, in milliseconds
     */
    public RangePlanner(String self, ClaimRegistry registry, long retentionMillis) {
        this.self = self;
        this.registry = registry;
        this.retentionMillis = retentionMillis;
    }

    /**
     * Plans the next change of the map. The ranges it changes must be sealed before it is proposed.
     *
     * @param view the other entries
     * @param nowMillis the current time, in milliseconds since 1970
     * @return the proposal; empty if nothing needs to change
     */
    public Optional<Propose> plan(View view, long nowMillis) {
        RangeMap map = registry.map();
        Map<Integer, RangeAssignment> changes = new HashMap<>();
        for (int range = 0; range < map.ranges().size(); range++) {
            RangeAssignment present = map.get(range);
            RangeAssignment next = next(range, present, view, nowMillis);
            if (!next.equals(present)) {
                changes.put(range, next);
            }
        }
        return changes.isEmpty() ? Optional.empty() : Optional.of(new Propose(map, changes));
    }

    private RangeAssignment next(int range, RangeAssignment present, View view, long nowMillis) {
        List<Member> ranked = ranked(range, view.live());
        if (present.owner().equals(self)) {
            return asOwner(range, present, view, ranked);
        }
        if (present.backup().equals(self)) {
            boolean ownerLost = !view.isLive(present.owner());
            boolean takesOver = registry.complete(range) && (ownerLost || registry.sealed(range));
            return takesOver && view.isLive(self)
                    ? changed(present, self, backupFor(self, ranked), present.unknownUntilMillis())
                    : present;
        }
        boolean first = !ranked.isEmpty() && ranked.get(0).id().equals(self);
        if (!first) {
            return present;
        }
        if (present.owner().isEmpty()) {
            return changed(present, self, backupFor(self, ranked), 0);
        }
        boolean lost = lost(present.owner(), view) && lost(present.backup(), view);
        return lost
                ? changed(present, self, backupFor(self, ranked), nowMillis + retentionMillis)
                : present;
    }

    private RangeAssignment asOwner(
            int range, RangeAssignment present, View view, List<Member> ranked) {
        if (ranked.isEmpty()) {
            return present;
        }
        String ideal = ranked.get(0).id();
        long unknownUntil = present.unknownUntilMillis();
        boolean handsOver = !ideal.equals(self) || !view.isLive(self);
        if (handsOver && present.backup().equals(ideal) && registry.backupComplete(range)) {
            return changed(present, ideal, view.isLive(self) ? self : "", unknownUntil);
        }
        if (!view.isLive(self) && registry.backupComplete(range) && !present.backup().isEmpty()) {
            return changed(present, present.backup(), "", unknownUntil);
        }
        String backup = handsOver ? ideal : backupFor(self, ranked);
        boolean backupLost = !present.backup().isEmpty() && !view.isLive(present.backup());
        boolean wantsOther = !present.backup().equals(backup);
        boolean rangeSealed = registry.sealed(range);
        return backupLost || wantsOther || rangeSealed
                ? changed(present, self, backup, unknownUntil)
                : present;
    }

    private static boolean lost(String id, View view) {
        return id.isEmpty() || (!view.isLive(id) && !view.registered().contains(id));
    }

    private static RangeAssignment changed(
            RangeAssignment present, String owner, String backup, long unknownUntilMillis) {
        return new RangeAssignment(present.epoch() + 1, owner, backup, unknownUntilMillis);
    }

    /**
     * Returns the backup for an owner, preferably in the owner's data centre, so that a network
     * partition between data centres does not separate them.
     */
    private static String backupFor(String owner, List<Member> ranked) {
        String ownerDataCentre =
                ranked.stream()
                        .filter(member -> member.id().equals(owner))
                        .map(Member::dataCentre)
                        .findFirst()
                        .orElse("");
        List<Member> others = ranked.stream().filter(member -> !member.id().equals(owner)).toList();
        return others.stream()
                .filter(member -> member.dataCentre().equals(ownerDataCentre))
                .findFirst()
                .or(() -> others.stream().findFirst())
                .map(Member::id)
                .orElse("");
    }

    private static List<Member> ranked(int range, List<Member> live) {
        Comparator<Member> byWeight =
                Comparator.comparingLong(
                        member -> Hashing.xxh3_64().hashCharsToLong(member.id() + '/' + range));
        return live.stream().sorted(byWeight.thenComparing(Member::id)).toList();
    }
}
