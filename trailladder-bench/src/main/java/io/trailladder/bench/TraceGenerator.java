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
package io.trailladder.bench;

import io.trailladder.core.routing.PromptBlocks;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Makes request traces from a seed: one like a mortgage house (whole files, short questions), one
 * like a family archive (long album prefixes shared by many, bursts of alerts).
 *
 * @since 0.1
 */
final class TraceGenerator {
    private static final int ORGANISATIONS = 5;
    private static final int[] SHARES = {40, 30, 20, 5, 5};

    private final Random random;
    private final Map<String, PromptBlocks> hashed = new HashMap<>();
    private final List<Request> requests = new ArrayList<>();

    /** One request of a trace. */
    record Request(double atMillis, String organisation, PromptBlocks blocks, int answerTokens) {}

    TraceGenerator(long seed) {
        random = new Random(seed);
    }

    /**
     * A tenth of the requests explain a file of some 3,000 tokens; most files are asked about
     * again.
     */
    List<Request> plata(double perSecond, int seconds) {
        arrivals(
                perSecond,
                seconds,
                at -> {
                    int organisation = organisation();
                    int kind = random.nextInt(10);
                    if (kind < 4) {
                        String file = "file-" + organisation + "-" + random.nextInt(60);
                        add(at, organisation, file, 40 + random.nextInt(12), 300, kind > 0);
                    } else {
                        add(at, organisation, "q" + random.nextInt(1 << 30), 1, 60, false);
                    }
                });
        return sorted();
    }

    /** Most requests share a long album; now and then a photo brings a burst of alerts. */
    List<Request> caafc(double perSecond, int seconds) {
        arrivals(
                perSecond,
                seconds,
                at -> {
                    int organisation = organisation();
                    String album = "album-" + organisation + "-" + random.nextInt(25);
                    if (random.nextInt(60) == 0) {
                        for (int i = 0; i < 15; i++) {
                            add(at + i, organisation, album, 64, 30, true);
                        }
                    } else {
                        add(at, organisation, album, 64, 150, true);
                    }
                });
        return sorted();
    }

    private interface Arrival {
        void at(double millis);
    }

    private void arrivals(double perSecond, int seconds, Arrival arrival) {
        double at = 0;
        while (at < seconds * 1000.0) {
            at += -StrictMath.log(1 - random.nextDouble()) * 1000 / perSecond;
            arrival.at(at);
        }
    }

    private void add(
            double at, int organisation, String prefix, int blocks, int answer, boolean question) {
        String own = question ? "q" + random.nextInt(1 << 30) : "";
        String text = text(prefix, blocks) + own;
        String name = "org-" + organisation;
        PromptBlocks hashes =
                question || blocks > 1
                        ? hashed.computeIfAbsent(
                                prefix, p -> PromptBlocks.of(name, "modelo", text(p, blocks)))
                        : PromptBlocks.of(name, "modelo", text);
        requests.add(new Request(at, name, hashes, answer / 2 + random.nextInt(answer)));
    }

    private int organisation() {
        int draw = random.nextInt(100);
        for (int i = 0; i < ORGANISATIONS; i++) {
            draw -= SHARES[i];
            if (draw < 0) {
                return i;
            }
        }
        return 0;
    }

    private List<Request> sorted() {
        requests.sort(Comparator.comparingDouble(Request::atMillis));
        return requests;
    }

    private static String text(String prefix, int blocks) {
        StringBuilder text = new StringBuilder();
        int length = blocks * PromptBlocks.BLOCK_CHARS;
        while (text.length() < length) {
            text.append(prefix).append(' ').append(text.length()).append(' ');
        }
        return text.substring(0, length);
    }
}
