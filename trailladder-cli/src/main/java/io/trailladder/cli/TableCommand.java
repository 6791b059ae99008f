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
import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowFault;
import io.trailladder.core.table.RowKey;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.trailladder.platform.TableStore;
import io.trailladder.platform.TableStore.CommitFailure;
import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Reads and edits the operators' table.
 *
 * @since 0.1
 */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        description = "Read and edit the table that decides where requests are served.")
public final class TableCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int HISTORY_CHANGES = 20;
    private static final int EXIT_FAILED = 1;

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "missing command, expected get, apply, set, validate, history or watch");
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description = "Check a table file and report every fault.")
    int validate(@Parameters(paramLabel = "FILE", description = "CSV file") Path file) {
        Optional<Seq<Row>> rows = read(file);
        rows.ifPresent(r -> out().println(r.size() + " rows are valid"));
        return rows.isPresent() ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Print the newest table as CSV.")
    int get(@Mixin PlatformOptions platform) throws IOException {
        try (platform) {
            Table table = platform.tables().load().join();
            if (platform.json()) {
                out().println(
                                JSON.writeValueAsString(
                                        new TableStore.Snapshot(
                                                table.revision(),
                                                table.changeId(),
                                                List.copyOf(table.rows()))));
            } else {
                out().print(TableFile.write(table.rows()));
                out().flush();
                err().println("revision " + table.revision());
            }
            return 0;
        }
    }

    @Command(
            name = "apply",
            mixinStandardHelpOptions = true,
            description = "Replace the table by a file, and wait until it is in force everywhere.")
    int apply(
            @Parameters(paramLabel = "FILE", description = "CSV file") Path file,
            @Option(
                            names = "--wait",
                            defaultValue = "14s",
                            description = "how long to wait (default ${DEFAULT-VALUE})")
                    String wait,
            @Option(
                            names = "--expect",
                            paramLabel = "REVISION",
                            description = "fail unless this is the newest revision")
                    Long expected,
            @Mixin PlatformOptions platform)
            throws IOException {
        Optional<Seq<Row>> rows = read(file);
        if (rows.isEmpty()) {
            return EXIT_FAILED;
        }
        try (platform) {
            Table base = platform.tables().load().join();
            if (expected != null && expected != base.revision()) {
                err().println(
                                "error: option --expect '"
                                        + expected
                                        + "', but the newest revision is "
                                        + base.revision());
                return EXIT_FAILED;
            }
            List<Row> wanted = rows.get().asJava();
            List<Row> puts =
                    wanted.stream()
                            .filter(row -> !base.row(row.key()).equals(Optional.of(row)))
                            .toList();
            List<RowKey> kept = wanted.stream().map(Row::key).toList();
            List<RowKey> removals =
                    base.rows().stream().map(Row::key).filter(k -> !kept.contains(k)).toList();
            return commit(platform, base, puts, removals, Durations.parseMillis(wait));
        }
    }

    @Command(
            name = "set",
            mixinStandardHelpOptions = true,
            description = "Change one row's weight, limit or data centres.")
    int set(
            @Parameters(paramLabel = "ORGANISATION") String organisation,
            @Parameters(paramLabel = "TARGET", description = "model or service") String target,
            @Option(names = "--weight", description = "1 to 1000") Integer weight,
            @Option(names = "--limit", description = "requests a second, 0 for none") Integer limit,
            @Option(names = "--data-centres", split = ",", description = "separated by commas")
                    List<String> dataCentres,
            @Option(names = "--wait", defaultValue = "14s") String wait,
            @Mixin PlatformOptions platform)
            throws IOException {
        try (platform) {
            Table base = platform.tables().load().join();
            Optional<Row> row = base.row(new RowKey(organisation, target));
            if (row.isEmpty()) {
                err().println("error: the table has no row " + organisation + "/" + target);
                return EXIT_FAILED;
            }
            Row old = row.get();
            Row next =
                    new Row(
                            old.organisation(),
                            old.target(),
                            old.kind(),
                            dataCentres == null ? old.dataCentres() : dataCentres,
                            weight == null ? old.weight() : weight,
                            limit == null ? old.limitPerSecond() : limit,
                            old.latencyTargetMillis(),
                            old.repeatable(),
                            old.keySha256());
            Optional<Seq<Row>> checked = checked(next);
            return checked.isEmpty()
                    ? EXIT_FAILED
                    : commit(
                            platform,
                            base,
                            next.equals(old) ? List.of() : List.of(next),
                            List.of(),
                            Durations.parseMillis(wait));
        }
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Print the newest changes.")
    int history(@Mixin PlatformOptions platform) throws IOException {
        try (platform) {
            print(platform, platform.tables().history(HISTORY_CHANGES).join());
            return 0;
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Print changes as they are committed, until interrupted.")
    int watch(
            @Option(
                            names = "--count",
                            paramLabel = "N",
                            defaultValue = "2147483647",
                            description = "end after N changes")
                    int count,
            @Mixin PlatformOptions platform)
            throws IOException {
        try (platform) {
            Table known = platform.tables().load().join();
            for (int seen = 0; seen < count; ) {
                platform.store().watch(TableStore.HEAD_KEY, 0, 1_000).join();
                List<TableChange> changes = platform.tables().changesAfter(known).join();
                print(platform, changes);
                for (TableChange change : changes) {
                    known = known.apply(change);
                }
                seen += changes.size();
                if (changes.isEmpty()) {
                    RevisionWaiter.pause();
                }
            }
            return 0;
        }
    }

    private int commit(
            PlatformOptions platform,
            Table base,
            List<Row> puts,
            List<RowKey> removals,
            long waitMillis)
            throws IOException {
        if (puts.isEmpty() && removals.isEmpty()) {
            out().println("nothing to change at revision " + base.revision());
            return 0;
        }
        String author = System.getProperty("user.name", "unknown");
        Either<CommitFailure, TableChange> result =
                platform.tables()
                        .commit(base, UUID.randomUUID().toString(), author, puts, removals)
                        .join();
        if (result.isLeft()) {
            err().println("error: " + describe(result.getLeft()));
            return EXIT_FAILED;
        }
        TableChange change = result.get();
        print(platform, List.of(change));
        return new RevisionWaiter(platform, out(), err()).await(change.revision(), waitMillis);
    }

    private static String describe(CommitFailure failure) {
        if (failure instanceof CommitFailure.Lost lost) {
            TableChange concurrent = lost.winner();
            return "not applied: "
                    + concurrent.author()
                    + " committed revision "
                    + concurrent.revision()
                    + " first, changing "
                    + names(concurrent)
                    + "; read the table again and repeat";
        }
        if (failure instanceof CommitFailure.Unknown unknown) {
            return "the platform cannot be reached to check whether the change was applied;"
                    + " look for change "
                    + unknown.changeId()
                    + " in 'trailladder table history'";
        }
        return "not applied: " + ((CommitFailure.Unreachable) failure).cause();
    }

    private void print(PlatformOptions platform, List<TableChange> changes) throws IOException {
        for (TableChange change : changes) {
            out().println(
                            platform.json()
                                    ? JSON.writeValueAsString(change)
                                    : "revision "
                                            + change.revision()
                                            + " by "
                                            + change.author()
                                            + ": "
                                            + names(change));
        }
        out().flush();
    }

    private static String names(TableChange change) {
        List<String> names = new ArrayList<>();
        change.puts().forEach(row -> names.add(row.key().toString()));
        change.removals().forEach(key -> names.add("-" + key));
        return String.join(" ", names);
    }

    private Optional<Seq<Row>> read(Path file) {
        if (!Files.isRegularFile(file)) {
            err().println("error: FILE is '" + file + "', expected a CSV file that exists");
            err().println("nothing was applied");
            return Optional.empty();
        }
        Validation<Seq<RowFault>, Seq<Row>> read = TableFile.read(file);
        if (read.isInvalid()) {
            read.getError().forEach(f -> err().println("error: " + f.describe(file.toString())));
            err().println("nothing was applied");
            return Optional.empty();
        }
        return Optional.of(read.get());
    }

    private Optional<Seq<Row>> checked(Row row) {
        Validation<Seq<RowFault>, Seq<Row>> checked =
                TableFile.parse(new StringReader(TableFile.write(List.of(row))));
        if (checked.isInvalid()) {
            checked.getError().forEach(f -> err().println("error: " + f.describe("row")));
            return Optional.empty();
        }
        return Optional.of(checked.get());
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }
}
