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
package io.trailladder.cli;

import io.trailladder.entry.operator.StatusReport;
import io.trailladder.wire.EntryInfo;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Waits until a table revision is in force at every registered entry.
 *
 * @since 0.1
 */
final class RevisionWaiter {
    private static final long POLL_MILLIS = 100;
    private static final int EXIT_NOT_IN_FORCE = 1;

    private final PlatformOptions platform;
    private final PrintWriter out;
    private final PrintWriter err;

    RevisionWaiter(PlatformOptions platform, PrintWriter out, PrintWriter err) {
        this.platform = platform;
        this.out = out;
        this.err = err;
    }

    /**
     * Waits until the revision is in force at all entries or the time is over, and returns the exit
     * code: 0 if it is in force everywhere, 1 if not.
     */
    int await(long revision, long waitMillis) {
        long deadline = System.nanoTime() + waitMillis * 1_000_000;
        Map<String, String> lagging = lagging(revision);
        while (!lagging.isEmpty() && System.nanoTime() < deadline) {
            pause();
            lagging = lagging(revision);
        }
        if (lagging.isEmpty()) {
            out.println("revision " + revision + " is in force everywhere");
            out.flush();
            return 0;
        }
        lagging.forEach((entry, why) -> err.println("not in force at " + entry + ": " + why));
        err.flush();
        return EXIT_NOT_IN_FORCE;
    }

    static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Map<String, String> lagging(long revision) {
        Map<String, String> lagging = new TreeMap<>();
        List<EntryInfo> entries = platform.entries();
        for (EntryInfo entry : entries) {
            Optional<StatusReport> status = platform.status(entry);
            if (status.isEmpty()) {
                lagging.put(entry.id(), "cannot be reached");
            } else if (status.get().tableRevision() < revision) {
                lagging.put(entry.id(), "has revision " + status.get().tableRevision());
            }
        }
        return lagging;
    }
}
