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

import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.entry.operator.StatusReport;
import io.trailladder.entry.operator.StatusReport.UpstreamLine;
import io.trailladder.wire.EntryInfo;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Shows the entries, upstreams and risks of all data centres.
 *
 * @since 0.1
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Show every data centre's entries, upstreams and table revision.")
public final class StatusCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PLATFORM_STALE_MILLIS = 15_000;

    @Spec private CommandSpec spec;

    @Mixin private PlatformOptions platform;

    @Override
    public Integer call() throws IOException {
        try (PlatformOptions connected = platform) {
            List<StatusReport> reports = new ArrayList<>();
            List<EntryInfo> unreachable = new ArrayList<>();
            for (EntryInfo entry : connected.entries()) {
                platform.status(entry).ifPresentOrElse(reports::add, () -> unreachable.add(entry));
            }
            PrintWriter out = spec.commandLine().getOut();
            if (platform.json()) {
                out.println(JSON.writeValueAsString(reports));
            } else {
                print(out, reports, unreachable);
            }
            out.flush();
            return unreachable.isEmpty() ? 0 : 1;
        }
    }

    private static void print(
            PrintWriter out, List<StatusReport> reports, List<EntryInfo> unreachable) {
        Map<String, List<StatusReport>> byDataCentre =
                reports.stream()
                        .collect(
                                Collectors.groupingBy(
                                        StatusReport::dataCentre,
                                        TreeMap::new,
                                        Collectors.toList()));
        byDataCentre.forEach((dataCentre, entries) -> print(out, dataCentre, entries));
        unreachable.forEach(entry -> out.println("not reachable: " + entry.id()));
        risks(reports, unreachable).forEach(risk -> out.println("at risk: " + risk));
    }

    private static void print(PrintWriter out, String dataCentre, List<StatusReport> entries) {
        out.println(dataCentre);
        for (StatusReport entry : entries) {
            out.printf(
                    "  %s  table %d  open %d  copies %d  claims %d  platform %s%s%n",
                    entry.entry(),
                    entry.tableRevision(),
                    entry.openRequests(),
                    entry.copies(),
                    entry.claims(),
                    platformAge(entry),
                    entry.draining() ? "  stopping" : "");
        }
        Map<String, int[]> counts = new TreeMap<>();
        for (UpstreamLine upstream : entries.get(0).upstreams()) {
            counts.computeIfAbsent(upstream.target(), t -> new int[2])[
                    upstream.leaving() ? 1 : 0]++;
        }
        counts.forEach(
                (target, count) ->
                        out.printf("  %s  live %d  leaving %d%n", target, count[0], count[1]));
    }

    private static String platformAge(StatusReport entry) {
        return entry.platformAgeMillis() < 0
                ? "never reached"
                : entry.platformAgeMillis() / 1000 + " s ago";
    }

    private static List<String> risks(List<StatusReport> reports, List<EntryInfo> unreachable) {
        List<String> risks = new ArrayList<>();
        if (!unreachable.isEmpty()) {
            risks.add(
                    "entries are not reachable; their requests continue at the entries with copies");
        }
        long newest = reports.stream().mapToLong(StatusReport::tableRevision).max().orElse(0);
        for (StatusReport report : reports) {
            if (report.tableRevision() < newest) {
                risks.add(report.entry() + " lags behind table revision " + newest);
            }
            if (report.platformAgeMillis() > PLATFORM_STALE_MILLIS) {
                risks.add(
                        report.entry()
                                + " does not reach the platform: no table changes from there");
            }
            if (report.peers().isEmpty()) {
                risks.add(report.entry() + " has no peer: requests have no copy");
            }
        }
        return risks;
    }
}
