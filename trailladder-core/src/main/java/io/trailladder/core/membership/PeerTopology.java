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
package io.trailladder.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses which entries an entry keeps links to, and which entries of a data centre do work that
 * few should do.
 *
 * @since 0.1
 */
public final class PeerTopology {
    /** Entries of every other data centre that an entry keeps links to. */
    public static final int REMOTE_LINKS = 2;

    private PeerTopology() {}

    /**
     * An entry as the topology sees it.
     *
     * @param id its name
     * @param dataCentre where it runs
     */
    public record Member(String id, String dataCentre) {}

    /**
     * Chooses the entries to keep links to: all of the same data centre, and a few of every other.
     *
     * @param self this entry
     * @param members all known entries
     * @return the names to link to
     */
    public static List<String> neighbours(Member self, List<Member> members) {
        Map<String, List<Member>> remote = new TreeMap<>();
        List<String> chosen = new ArrayList<>();
        for (Member member : members) {
            if (member.id().equals(self.id())) {
                continue;
            }
            if (member.dataCentre().equals(self.dataCentre())) {
                chosen.add(member.id());
            } else {
                remote.computeIfAbsent(member.dataCentre(), d -> new ArrayList<>()).add(member);
            }
        }
        remote.values()
                .forEach(
                        all ->
                                all.stream()
                                        .sorted(byHash(self.id()))
                                        .limit(REMOTE_LINKS)
                                        .forEach(member -> chosen.add(member.id())));
        return chosen;
    }

    /**
     * Ranks an entry among the live ones of its data centre. The first ones do what all need but
     * few should ask the platform for.
     *
     * @param self this entry
     * @param live the live entries, with or without this one
     * @param task names the work, so that different work falls to different entries
     * @return 0 for the first
     */
    public static int rank(Member self, List<Member> live, String task) {
        Comparator<Member> order = byHash(task);
        return (int)
                live.stream()
                        .filter(member -> member.dataCentre().equals(self.dataCentre()))
                        .filter(member -> order.compare(member, self) < 0)
                        .count();
    }

    private static Comparator<Member> byHash(String salt) {
        Comparator<Member> byHash =
                Comparator.comparingLong(
                        member -> Hashing.xxh3_64().hashCharsToLong(member.id() + '/' + salt));
        return byHash.thenComparing(Member::id);
    }
}
