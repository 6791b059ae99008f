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
package io.trailladder.core.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which answers are ended to make room. The organisation that holds most gives first, so
 * that all slow callers of one cannot take what the others need: an organisation that holds no more
 * than an equal part of what is held loses nothing before those above it are down to that part. Of
 * an organisation's answers the streams that can be resumed go first, the largest before the
 * others; an answer that is lost whole goes last.
 *
 * @since 0.2
 */
public final class AnswerChoice {
    private AnswerChoice() {}

    /**
     * Chooses answers.
     *
     * @param waiting those that may be ended
     * @param bytes how many bytes are to come free
     * @return the answers to end, in order; all if they do not suffice
     */
    public static List<WaitingAnswer> answersToEnd(List<WaitingAnswer> waiting, long bytes) {
        Map<String, List<WaitingAnswer>> byOrganisation = new HashMap<>();
        Map<String, Long> held = new HashMap<>();
        for (WaitingAnswer answer : waiting) {
            byOrganisation
                    .computeIfAbsent(answer.organisation(), name -> new ArrayList<>())
                    .add(answer);
            held.merge(answer.organisation(), answer.bytes(), Long::sum);
        }
        byOrganisation.values().forEach(answers -> answers.sort(AnswerChoice::compare));
        List<WaitingAnswer> chosen = new ArrayList<>();
        long left = bytes;
        while (left > 0 && !held.isEmpty()) {
            String most = largest(held);
            List<WaitingAnswer> answers = byOrganisation.get(most);
            WaitingAnswer next = answers.remove(answers.size() - 1);
            chosen.add(next);
            left -= next.bytes();
            if (answers.isEmpty()) {
                held.remove(most);
            } else {
                held.merge(most, -next.bytes(), Long::sum);
            }
        }
        return chosen;
    }

    /** Orders answers so that the one to end first is last. */
    private static int compare(WaitingAnswer one, WaitingAnswer other) {
        if (one.resumable() != other.resumable()) {
            return one.resumable() ? 1 : -1;
        }
        int bySize = Long.compare(one.bytes(), other.bytes());
        return bySize != 0 ? bySize : Integer.compare(other.key(), one.key());
    }

    /** Returns the organisation that holds most; of several, the first by name. */
    private static String largest(Map<String, Long> held) {
        String most = null;
        for (Map.Entry<String, Long> entry : held.entrySet()) {
            if (most == null
                    || entry.getValue() > held.get(most)
                    || (entry.getValue().equals(held.get(most))
                            && entry.getKey().compareTo(most) < 0)) {
                most = entry.getKey();
            }
        }
        return most;
    }
}
