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
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Reports from the logs of gateways how a request was handled and why it ended as it did.
 *
 * <pre>{@code
 * cat gateway-*.log | trailladder explain 9c41d07be2a35f68
 * trailladder explain 9c41d07be2a35f68 gateway-1.log gateway-2.log
 * }</pre>
 *
 * @since 0.2
 */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Explain from gateways' logs how a request ended, and why.")
public final class ExplainCommand implements Callable<Integer> {
    private static final int EXIT_NOT_FOUND = 1;

    @Spec private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "The request's id.")
    private String id;

    @Parameters(
            index = "1..*",
            paramLabel = "FILE",
            description = "Logs; standard input if not given.")
    private List<Path> files = List.of();

    @Override
    public Integer call() throws IOException {
        RequestTrace trace = new RequestTrace(id);
        LogFiles.read(files, spec.commandLine(), trace::add);
        return print(trace);
    }

    private int print(RequestTrace trace) {
        if (trace.isEmpty()) {
            PrintWriter err = spec.commandLine().getErr();
            err.println(
                    "REQUEST-ID '" + id + "' is in no log line, expected the logs of all gateways");
            err.flush();
            return EXIT_NOT_FOUND;
        }
        PrintWriter out = spec.commandLine().getOut();
        for (DecisionLine line : trace.lines()) {
            out.println(line.time() + " " + line.source() + " " + line.fields());
        }
        out.println("cause: " + trace.cause());
        out.flush();
        return 0;
    }
}
