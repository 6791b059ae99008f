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
 * Chooses which answers are ended to free memory. Answers of the organisation with the most
 * reserved bytes are ended first, so that the slow callers of one organisation cannot take the
 * memory that the others need: an organisation with no more than an equal share of the reserved
 * bytes loses nothing until those above it are down to that share. Of an organisation's answers,
 * resumable streams are ended first, the largest before the others; answers that would be lost
 * entirely are ended last.
 *
 * @since 0.2
 */
public final class AnswerChoice {
    private AnswerChoice() {}

    /**
     * Returns the answers to end so that enough bytes become free.
     *
     * @param waiting the answers that may be ended
     * @param bytes number of bytes to free
     * @return the answers to end, in order; all of them if they do not suffice
     */
    public static List<WaitingAnswer> answersToEnd(List<WaitingAnswer> waiting, long bytes) {
        Map<String, List<WaitingAnswer>> byOrganisation = new HashMap<>();
        Map<String, Long> reserved = new HashMap<>();
        for (WaitingAnswer answer : waiting) {
            byOrganisation
                    .computeIfAbsent(answer.organisation(), name -> new ArrayList<>())
                    .add(answer);
            reserved.merge(answer.organisation(), answer.bytes(), Long::sum);
        }
        byOrganisation.values().forEach(answers -> answers.sort(AnswerChoice::compare));
        List<WaitingAnswer> chosen = new ArrayList<>();
        long remaining = bytes;
        while (remaining > 0 && !reserved.isEmpty()) {
            String largest = largest(reserved);
            List<WaitingAnswer> answers = byOrganisation.get(largest);
            WaitingAnswer next = answers.remove(answers.size() - 1);
            chosen.add(next);
            remaining -= next.bytes();
            if (answers.isEmpty()) {
                reserved.remove(largest);
            } else {
                reserved.merge(largest, -next.bytes(), Long::sum);
            }
        }
        return chosen;
    }

    /** Compares answers so that the one to end first is sorted last. */
    private static int compare(WaitingAnswer one, WaitingAnswer other) {
        if (one.resumable() != other.resumable()) {
            return one.resumable() ? 1 : -1;
        }
        int bySize = Long.compare(one.bytes(), other.bytes());
        return bySize != 0 ? bySize : Integer.compare(other.key(), one.key());
    }

    /** Returns the organisation with the most reserved bytes; of several, the first by name. */
    private static String largest(Map<String, Long> reserved) {
        String largest = null;
        for (Map.Entry<String, Long> entry : reserved.entrySet()) {
            if (largest == null
                    || entry.getValue() > reserved.get(largest)
                    || (entry.getValue().equals(reserved.get(largest))
                            && entry.getKey().compareTo(largest) < 0)) {
                largest = entry.getKey();
            }
        }
        return largest;
    }
}
