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
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Reports the state of roll-outs and the reasons for it from the logs of gateways.
 *
 * <pre>{@code
 * trailladder rollout status chat --log gateway-1.log --log gateway-2.log
 * cat gateway-*.log | trailladder rollout status --json
 * }</pre>
 *
 * @since 0.5
 */
@Command(
        name = "rollout",
        mixinStandardHelpOptions = true,
        description = "Report the state of roll-outs.")
public final class RolloutCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int EXIT_NOTHING_FOUND = 1;

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command, expected status");
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description =
                    "Report the phase of each roll-out, its answers so far, and what it waits for.")
    int status(
            @Parameters(
                            arity = "0..1",
                            paramLabel = "SERVICE",
                            description = "The service; all services if not given.")
                    String service,
            @Option(
                            names = "--log",
                            paramLabel = "FILE",
                            description = "Logs of all gateways; standard input if not given.")
                    List<Path> logs,
            @Option(names = "--json", description = "print JSON") boolean json)
            throws IOException {
        Map<String, DecisionLine> latest = new TreeMap<>();
        List<Path> files = logs == null ? List.of() : logs;
        LogFiles.read(files, spec.commandLine(), line -> keepLatest(latest, line));
        List<RolloutLine> lines =
                latest.values().stream()
                        .map(RolloutLine::of)
                        .filter(line -> service == null || line.service().equals(service))
                        .toList();
        if (lines.isEmpty()) {
            PrintWriter err = spec.commandLine().getErr();
            String of = service == null ? "" : " of '" + service + "'";
            err.println("no line reports a roll-out" + of + ", expected the logs of all gateways");
            err.flush();
            return EXIT_NOTHING_FOUND;
        }
        print(lines, json);
        return 0;
    }

    private static void keepLatest(Map<String, DecisionLine> latest, DecisionLine line) {
        if (line.kind().equals("RolloutStep")) {
            latest.merge(
                    line.text("service"),
                    line,
                    (previous, next) -> next.time().isBefore(previous.time()) ? previous : next);
        }
    }

    private void print(List<RolloutLine> lines, boolean json) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            ArrayNode all = JSON.createArrayNode();
            lines.forEach(line -> all.add(line.json()));
            out.println(JSON.writeValueAsString(all));
        } else {
            lines.forEach(line -> line.print(out));
        }
        out.flush();
    }
}
