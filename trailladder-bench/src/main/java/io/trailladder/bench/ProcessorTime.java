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

import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;

/**
 * Measures the processor time of gateway processes: of the start, of rest, of the first requests
 * and of later ones, by thread.
 *
 * <p>{@code PROCESSES REST_SECONDS FIRST LATER [FLAG ...]}, run where the build has left {@code
 * target/gateway.jar} and {@code target/gateway.jsa}. Processes run as {@code deploy/system.toml}
 * says, with the flags added; {@code NAME} in a flag stands for a file name of the process's own.
 * Processor time does not depend on how busy the machine is as much as time of the clock does, yet
 * figures are only compared that were measured side by side.
 *
 * @since 0.5
 */
public final class ProcessorTime {
    private static final String RUN = "run = \"";
    private static final double EACH_PER_SECOND = 10;
    private static final long READY_SECONDS = 60;
    private static final long POLL_MILLIS = 50;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final StandIns standIns = new StandIns();
    private final List<MeasuredGateway> gateways = new ArrayList<>();
    private ProcessUse last = ProcessUse.none();

    private ProcessorTime() {}

    /**
     * Measures and prints.
     *
     * @param args processes, seconds of rest, first requests of each, later requests of each, flags
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted
     * @throws ExecutionException if a stand-in cannot listen
     */
    public static void main(String[] args)
            throws IOException, InterruptedException, ExecutionException {
        int[] numbers = Arrays.stream(args).limit(4).mapToInt(Integer::parseInt).toArray();
        List<String> flags = Arrays.asList(args).subList(4, args.length);
        ProcessorTime run = new ProcessorTime();
        try {
            run.measure(numbers[0], numbers[1], numbers[2], numbers[3], flags);
        } finally {
            for (MeasuredGateway gateway : run.gateways) {
                gateway.stop();
            }
        }
        System.exit(0);
    }

    private void measure(int processes, int restSeconds, int first, int later, List<String> flags)
            throws IOException, InterruptedException, ExecutionException {
        Path folder = Files.createTempDirectory("processor-time");
        System.out.println("logs in " + folder);
        HostPort platform = standIns.start();
        List<String> command = command(flags);
        for (int i = 0; i < processes; i++) {
            String place = StandIns.dataCentre(i);
            gateways.add(new MeasuredGateway("g" + i, place, folder, platform, command));
        }
        awaitReady();
        phase("start until ready", 1);
        Thread.sleep(restSeconds * MILLIS_PER_SECOND);
        phase("rest, " + restSeconds + " s", 1);
        List<HostPort> targets = gateways.stream().map(MeasuredGateway::callers).toList();
        standIns.ask(targets, first, EACH_PER_SECOND);
        phase("first " + first + " requests", first);
        standIns.ask(targets, later, EACH_PER_SECOND);
        phase("next " + later + " requests", later);
        System.out.printf("whole %d, other %d%n", standIns.whole(), standIns.other());
    }

    /** Returns the deployed command with more flags. */
    private static List<String> command(List<String> flags) throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy", "system.toml")).stream()
                        .filter(text -> text.startsWith(RUN))
                        .findFirst()
                        .orElseThrow();
        List<String> words =
                new ArrayList<>(
                        List.of(line.substring(RUN.length(), line.length() - 1).split(" ", -1)));
        words.addAll(1, flags);
        return words;
    }

    private void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
        for (MeasuredGateway gateway : gateways) {
            while (!gateway.isReady()) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException("no gateway is ready, expected all");
                }
                Thread.sleep(POLL_MILLIS);
            }
        }
    }

    /** Prints what a process used since the phase before. */
    private void phase(String name, int requests) {
        ProcessUse now = ProcessUse.read(gateways.stream().map(MeasuredGateway::pid).toList());
        ProcessUse used = now.since(last);
        last = now;
        double processes = gateways.size();
        double millis = (used.ownMillis() + used.kernelMillis()) / processes;
        System.out.printf(
                Locale.ROOT,
                "%s: %.0f ms a process (kernel %.0f), %.2f ms each, %.0f wake-ups%n",
                name,
                millis,
                used.kernelMillis() / processes,
                millis / requests,
                used.allWakeUps() / processes);
        used.own().forEach((thread, ticks) -> thread(thread, ticks, used, processes));
    }

    private static void thread(String name, long ownTicks, ProcessUse used, double processes) {
        long ticks = ownTicks + used.kernel().get(name);
        double millis = ProcessUse.TICK_MILLIS * ticks / processes;
        double wakeUps = used.wakeUps().getOrDefault(name, 0L) / processes;
        if (millis >= 1) {
            System.out.printf(
                    Locale.ROOT, "    %-16s %7.1f ms %7.0f wake-ups%n", name, millis, wakeUps);
        }
    }
}
