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

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Replays the routing decisions of a recorded trace and compares them with its expected outcomes.
 *
 * @since 0.1
 */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description =
                "Replay the decisions of a recorded trace; exit 1 if one differs from the trace.",
        footer = {
            "",
            "A trace is JSON lines. The first names data centre, seed and upstreams; every other line",
            "is one event: request, ended, report or leaving. A request states the upstream expected",
            "to be chosen, empty for none. See docs/operators/REPLAY.md."
        })
public final class ReplayCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "TRACE", description = "trace file")
    private Path file;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            err.println("error: parameter TRACE '" + file + "', expected a readable file");
            return spec.exitCodeOnInvalidInput();
        }
        RoutingTrace trace = new RoutingTrace();
        for (int i = 0; i < lines.size(); i++) {
            if (!lines.get(i).isBlank()) {
                trace.apply(i + 1, lines.get(i));
            }
        }
        trace.differences().forEach(difference -> err.println(file + ":" + difference));
        out.println(trace.decisions() + " decisions, " + trace.differences().size() + " different");
        return trace.differences().isEmpty() ? 0 : 1;
    }
}
