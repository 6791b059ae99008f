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
 * A caller that retries until its answer is complete: after each end or break, and after one second
 * without a token, it requests the remainder from the next running entry.
 */
final class PersistentCaller {
    private static final long RETRY_DELAY_MILLIS = 20;
    private static final long IDLE_TIMEOUT_MILLIS = 1_000;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final SimulatedEntries system;
    private final StringBuilder text = new StringBuilder();
    private RecordedAnswer answer;
    private String requestId = "";
    private int tokens;
    private int asks;
    private int next;
    private int lastTokens;
    private long lastProgressMillis;
    private long wholeMillis = -1;

    PersistentCaller(SimulatedEntries system) {
        this.system = system;
    }

    /** Starts a stream at an entry. */
    void begin(String entry, int maxTokens) {
        answer = new RecordedAnswer(this::over);
        system.entry(entry).stream(maxTokens, answer);
        system.clock.after(CHECK_INTERVAL_MILLIS, this::checkIdle);
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
            system.clock.after(RETRY_DELAY_MILLIS, this::ask);
        }
    }

    private void ask() {
        List<SimulatedEntry> running = system.running();
        if (requestId.isEmpty()) {
            return;
        }
        if (running.isEmpty()) {
            system.clock.after(CHECK_INTERVAL_MILLIS, this::ask);
            return;
        }
        asks++;
        lastTokens = 0;
        lastProgressMillis = system.clock.millis();
        answer = new RecordedAnswer(this::over);
        running.get(next++ % running.size()).ask(requestId, tokens, answer);
    }

    /** Disconnects from an answer without progress for the idle timeout. */
    private void checkIdle() {
        if (isWhole()) {
            return;
        }
        long now = system.clock.millis();
        if (answer.tokens() != lastTokens) {
            lastTokens = answer.tokens();
            lastProgressMillis = now;
        } else if (!answer.isOver() && now - lastProgressMillis >= IDLE_TIMEOUT_MILLIS) {
            answer.leave();
            over();
        }
        system.clock.after(CHECK_INTERVAL_MILLIS, this::checkIdle);
    }

    @Override
    public String toString() {
        return tokens + " tokens, " + asks + " asks, whole at " + wholeMillis + ", now " + answer;
    }
}
