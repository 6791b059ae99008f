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
package io.trailladder.entry;

import java.util.List;

/**
 * A caller that goes on asking until it has its whole answer: after each end or break, and after a
 * second of silence, it asks the next entry that runs.
 */
final class PersistentCaller {
    private static final long ASK_AGAIN_MILLIS = 20;
    private static final long SILENCE_MILLIS = 1_000;
    private static final long LOOK_MILLIS = 100;

    private final SimulatedEntries system;
    private final StringBuilder text = new StringBuilder();
    private RecordedAnswer answer;
    private String requestId = "";
    private int tokens;
    private int asks;
    private int next;
    private int seen;
    private long seenMillis;
    private long wholeMillis = -1;

    PersistentCaller(SimulatedEntries system) {
        this.system = system;
    }

    /** Begins a stream at an entry. */
    void begin(String entry, int maxTokens) {
        answer = new RecordedAnswer(this::over);
        system.entry(entry).stream(maxTokens, answer);
        system.clock.after(LOOK_MILLIS, this::look);
    }

    boolean isWhole() {
        return wholeMillis >= 0;
    }

    long wholeMillis() {
        return wholeMillis;
    }

    int asks() {
        return asks;
    }

    String text() {
        return text.toString();
    }

    private void over() {
        requestId = requestId.isEmpty() ? answer.requestId() : requestId;
        text.append(answer.text());
        tokens += answer.tokens();
        if (answer.isWhole()) {
            wholeMillis = system.clock.millis();
        } else {
            system.clock.after(ASK_AGAIN_MILLIS, this::ask);
        }
    }

    private void ask() {
        List<SimulatedEntry> running = system.running();
        if (requestId.isEmpty()) {
            return;
        }
        if (running.isEmpty()) {
            system.clock.after(LOOK_MILLIS, this::ask);
            return;
        }
        asks++;
        seen = 0;
        seenMillis = system.clock.millis();
        answer = new RecordedAnswer(this::over);
        running.get(next++ % running.size()).ask(requestId, tokens, answer);
    }

    /** Leaves an answer that has been silent for too long. */
    private void look() {
        if (isWhole()) {
            return;
        }
        long now = system.clock.millis();
        if (answer.tokens() != seen) {
            seen = answer.tokens();
            seenMillis = now;
        } else if (!answer.isOver() && now - seenMillis >= SILENCE_MILLIS) {
            answer.leave();
            over();
        }
        system.clock.after(LOOK_MILLIS, this::look);
    }

    @Override
    public String toString() {
        return tokens + " tokens, " + asks + " asks, whole at " + wholeMillis + ", now " + answer;
    }
}
