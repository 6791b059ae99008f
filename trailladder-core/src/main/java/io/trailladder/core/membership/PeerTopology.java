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
 * Chooses the entries to which an entry keeps links, and the entries of a data centre that do work
 * that only a few should do.
 *
 * @since 0.1
 */
public final class PeerTopology {
    /** Number of entries of every other data centre to which an entry keeps links. */
    public static final int REMOTE_LINKS = 2;

    private PeerTopology() {}

    /**
     * An entry and its location.
     *
     * @param id the name of the entry
     * @param dataCentre the data centre in which it runs
     */
    public record Member(String id, String dataCentre) {}

    /**
     * Returns the entries to which an entry keeps links: all of the same data centre, and {@link
     * #REMOTE_LINKS} of every other.
     *
     * @param self this entry
     * @param members all known entries
     * @return the names of the entries to link to
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
     * Returns the rank of an entry among the live entries of its data centre. The first ones send
     * the requests to the platform that all entries need but few should send.
     *
     * @param self this entry
     * @param live the live entries, with or without this one
     * @param task the name of the work, so that different work is assigned to different entries
     * @return the rank; 0 for the first
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
