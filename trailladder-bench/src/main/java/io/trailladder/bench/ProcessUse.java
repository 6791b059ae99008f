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

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What the threads of one process have used so far, as the system counts it.
 *
 * @param own processor time in the process's own code by thread, in ticks of 10 ms
 * @param kernel processor time in the kernel by thread, in ticks of 10 ms
 * @param wakeUps how often a thread has waited and gone on, by thread
 */
record ProcessUse(Map<String, Long> own, Map<String, Long> kernel, Map<String, Long> wakeUps) {
    /** Length of a tick, in milliseconds: Linux tells times in hundredths of a second. */
    static final long TICK_MILLIS = 10;

    private static final int OWN_FIELD = 11;
    private static final int KERNEL_FIELD = 12;
    private static final String WAKE_UPS = "voluntary_ctxt_switches:";

    static ProcessUse none() {
        return new ProcessUse(new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
    }

    /** Reads what the threads of some processes have used; those that have ended count nothing. */
    static ProcessUse read(List<Long> processes) {
        ProcessUse use = none();
        for (long process : processes) {
            Path tasks = Path.of("/proc", Long.toString(process), "task");
            try (Stream<Path> threads = Files.list(tasks)) {
                threads.forEach(use::add);
            } catch (IOException e) {
                System.err.println("process " + process + " cannot be read: " + e);
            }
        }
        return use;
    }

    /** Returns what was used since an earlier reading. */
    ProcessUse since(ProcessUse before) {
        return new ProcessUse(
                minus(own, before.own),
                minus(kernel, before.kernel),
                minus(wakeUps, before.wakeUps));
    }

    long ownMillis() {
        return TICK_MILLIS * sum(own);
    }

    long kernelMillis() {
        return TICK_MILLIS * sum(kernel);
    }

    long allWakeUps() {
        return sum(wakeUps);
    }

    private void add(Path thread) {
        try {
            String line = Files.readString(thread.resolve("stat"));
            int end = line.lastIndexOf(')');
            String name = line.substring(line.indexOf('(') + 1, end);
            String[] fields = line.substring(end + 2).split(" ", -1);
            own.merge(name, Long.parseLong(fields[OWN_FIELD]), Long::sum);
            kernel.merge(name, Long.parseLong(fields[KERNEL_FIELD]), Long::sum);
            for (String status : Files.readAllLines(thread.resolve("status"))) {
                if (status.startsWith(WAKE_UPS)) {
                    long count = Long.parseLong(status.substring(WAKE_UPS.length()).trim());
                    wakeUps.merge(name, count, Long::sum);
                }
            }
        } catch (NoSuchFileException e) {
            // the thread has ended since the list was read
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, Long> minus(Map<String, Long> now, Map<String, Long> before) {
        Map<String, Long> change = new TreeMap<>();
        now.forEach((name, count) -> change.put(name, count - before.getOrDefault(name, 0L)));
        return change;
    }

    private static long sum(Map<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
