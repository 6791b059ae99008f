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

import io.trailladder.cli.LossTable.Dimension;
import io.trailladder.cli.LossTable.Row;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Reports from the logs of gateways which requests were not served or were late, grouped by
 * outcome, cause, route, organisation, upstream or second.
 *
 * <pre>{@code
 * cat gateway-*.log | trailladder losses
 * trailladder losses --by second --most 100 gateway-1.log gateway-2.log
 * trailladder losses --window 8 --limit-of acme gateway-*.log
 * }</pre>
 *
 * @since 0.3
 */
@Command(
        name = "losses",
        mixinStandardHelpOptions = true,
        description =
                "Report from gateways' logs which requests were not served, or late, and why.")
public final class LossesCommand implements Callable<Integer> {
    private static final int EXIT_NOTHING_FOUND = 1;
    private static final int DEFAULT_MAX_ROWS = 20;
    private static final long DEFAULT_WINDOW_SECONDS = 8;
    private static final double MILLIS_PER_SECOND = 1000.0;

    @Spec private CommandSpec spec;

    @Option(
            names = "--by",
            paramLabel = "DIMENSION",
            description = "One of: ${COMPLETION-CANDIDATES}. All but SECOND if not given.")
    private List<Dimension> dimensions =
            List.of(
                    Dimension.OUTCOME,
                    Dimension.CAUSE,
                    Dimension.ROUTE,
                    Dimension.ORGANISATION,
                    Dimension.UPSTREAM);

    @Option(
            names = "--most",
            paramLabel = "N",
            description = "Maximum rows of a table; ${DEFAULT-VALUE} if not given.")
    private int maxRows = DEFAULT_MAX_ROWS;

    @Option(
            names = "--window",
            paramLabel = "SECONDS",
            description =
                    "Length of the windows over which limits of organisations and retries are"
                            + " summed up;"
                            + " ${DEFAULT-VALUE} if not given.")
    private long windowSeconds = DEFAULT_WINDOW_SECONDS;

    @Option(
            names = "--limit-of",
            paramLabel = "ORGANISATION",
            description = "Also show second by second what this organisation was admitted.")
    private String limitOf = "";

    @Parameters(
            index = "0..*",
            paramLabel = "FILE",
            description = "Logs; standard input if not given.")
    private List<Path> files = List.of();

    @Override
    public Integer call() throws IOException {
        if (windowSeconds < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--window is "
                            + windowSeconds
                            + ", expected a number of seconds of at least 1");
        }
        LossTable table = new LossTable();
        LimitTable limits = new LimitTable(windowSeconds);
        RetryTable retries = new RetryTable(windowSeconds);
        StoreUseTable storeUse = new StoreUseTable();
        CrashTable crashes = new CrashTable();
        LogFiles.read(
                files,
                spec.commandLine(),
                line -> {
                    table.add(line);
                    storeUse.add(line);
                    crashes.add(line);
                    limits.add(line);
                    retries.add(line);
                });
        PrintWriter out = spec.commandLine().getOut();
        Row total = table.total();
        if (total.requests() == 0) {
            PrintWriter err = spec.commandLine().getErr();
            err.println("no line describes a request, expected the logs of all gateways");
            err.flush();
            return EXIT_NOTHING_FOUND;
        }
        print(out, "all", List.of(total));
        for (Dimension dimension : dimensions) {
            print(out, dimension.name().toLowerCase(Locale.ROOT), table.rows(dimension));
        }
        print(out, storeUse);
        print(out, crashes);
        printLimits(out, "limits, fullest " + windowSeconds + " s", limits.fullestWindows());
        printLimits(out, "limit of " + limitOf + ", by second", limits.seconds(limitOf));
        printRetries(out, retries.fullestWindows());
        out.flush();
        return 0;
    }

    private static void print(PrintWriter out, StoreUseTable storeUse) {
        if (storeUse.rows().isEmpty()) {
            return;
        }
        out.printf(Locale.ROOT, "%-40s %9s%n", "calls to the store", "calls");
        for (StoreUseTable.Row row : storeUse.rows()) {
            out.printf(Locale.ROOT, "%-40s %9d%n", row.purposeAndKind(), row.calls());
        }
        out.println();
    }

    private void printLimits(PrintWriter out, String title, List<LimitTable.Row> rows) {
        if (rows.isEmpty()) {
            return;
        }
        out.printf(Locale.ROOT, "%-40s %20s %12s", title, "from", "units");
        LimitTable.PARTS.forEach(part -> out.printf(Locale.ROOT, " %13s", part));
        out.printf(Locale.ROOT, " %8s %9s %9s%n", "refused", "processes", "oldest ms");
        for (LimitTable.Row row : rows.subList(0, Math.min(maxRows, rows.size()))) {
            Instant from = Instant.ofEpochSecond(row.fromEpochSecond());
            out.printf(Locale.ROOT, "%-40s %20s %12.0f", row.title(), from, row.admitted());
            row.parts().forEach(part -> out.printf(Locale.ROOT, " %13.0f", part));
            out.printf(
                    Locale.ROOT,
                    " %8d %9d %9d%n",
                    row.refused(),
                    row.processes(),
                    row.oldestMillis());
        }
        out.println();
    }

    private void printRetries(PrintWriter out, List<RetryTable.Row> rows) {
        if (rows.isEmpty()) {
            return;
        }
        out.printf(
                Locale.ROOT,
                "%-40s %20s %9s %10s %9s %9s %9s%n",
                "retries, fullest " + windowSeconds + " s",
                "from",
                "requests",
                "sent again",
                "allowed",
                "refused",
                "processes");
        for (RetryTable.Row row : rows.subList(0, Math.min(maxRows, rows.size()))) {
            out.printf(
                    Locale.ROOT,
                    "%-40s %20s %9d %10d %9d %9d %9d%n",
                    row.service(),
                    Instant.ofEpochSecond(row.fromEpochSecond()),
                    row.requests(),
                    row.sentAgain(),
                    row.allowed(),
                    row.refused(),
                    row.processes());
        }
        out.println();
    }

    private void print(PrintWriter out, CrashTable crashes) {
        List<CrashTable.Row> rows = crashes.rows();
        if (rows.isEmpty()) {
            return;
        }
        out.printf(
                Locale.ROOT,
                "%-40s %9s %9s %9s %9s %9s  %s%n",
                "requests, parts with upstreams that ended",
                "upstreams",
                "alone",
                "tries",
                "processes",
                "lasted s",
                "first");
        for (CrashTable.Row row : rows.subList(0, Math.min(maxRows, rows.size()))) {
            out.printf(
                    Locale.ROOT,
                    "%-40s %9d %9d %9d %9d %9.1f  %s%n",
                    row.request(),
                    row.upstreams(),
                    row.alone(),
                    row.tries(),
                    row.processes(),
                    row.lasted().toMillis() / MILLIS_PER_SECOND,
                    row.first());
        }
        out.println();
    }

    private void print(PrintWriter out, String title, List<Row> rows) {
        out.printf(
                Locale.ROOT,
                "%-40s %9s %9s %9s %9s%n",
                title,
                "requests",
                "unserved",
                "late",
                "held s");
        for (Row row : rows.subList(0, Math.min(maxRows, rows.size()))) {
            out.printf(
                    Locale.ROOT,
                    "%-40s %9d %9d %9d %9.1f%n",
                    row.value(),
                    row.requests(),
                    row.unserved(),
                    row.late(),
                    row.heldMillis() / MILLIS_PER_SECOND);
        }
        out.println();
    }
}
