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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import picocli.CommandLine;

/** Tests that {@code rollout status} reports roll-outs from the lines that their leaders write. */
class RolloutCommandTest {
    private static final String TWO =
            step(1, "chat", "SAMPLING", 3_200, "suspect by chat")
                    + step(3, "chat", "HALTED", 900, "time is up: suspect by chat")
                    + step(2, "chat", "SAMPLING", 1_900, "suspect by chat")
                    + step(2, "book", "SWITCHING", 300, "fine");

    private final StringWriter err = new StringWriter();
    private final StringWriter out = new StringWriter();

    private static String step(int second, String service, String phase, int left, String why) {
        return ("g-1 {'time':'2026-12-02T13:00:0%dZ','decision':{'kind':'RolloutStep',"
                        + "'service':'%s','version':'v2','phase':'%s','recorded':'IN_PROGRESS',"
                        + "'reason':'%s','leftMs':%d,'bound':0.1,'routes':["
                        + "{'route':'a','old':{'answers':900,'bad':2,'slow':9},"
                        + "'new':{'answers':90,'bad':3,'slow':4}},"
                        + "{'route':'b','old':{'answers':100,'bad':0,'slow':0},"
                        + "'new':{'answers':10,'bad':0,'slow':0}}]}}%n")
                .formatted(second, service, phase, why, left)
                .replace('\'', '"');
    }

    private int status(String log, String... options) throws IOException {
        Path file = Files.createTempFile("trailladder", ".log");
        file.toFile().deleteOnExit();
        Files.writeString(file, log);
        String[] args = new String[options.length + 4];
        args[0] = "rollout";
        args[1] = "status";
        System.arraycopy(options, 0, args, 2, options.length);
        args[args.length - 2] = "--log";
        args[args.length - 1] = file.toString();
        CommandLine commandLine = TrailladderCommand.commandLine();
        commandLine.setErr(new PrintWriter(err, true));
        commandLine.setOut(new PrintWriter(out, true));
        return commandLine.execute(args);
    }

    @Example
    void latestStepOfEachServiceIsPrinted() throws IOException {
        assertEquals(0, status(TWO));
        String output = out.toString();
        assertTrue(output.contains("chat to v2: HALTED, recorded IN_PROGRESS, 0.9 s left"), output);
        assertTrue(output.contains("book to v2: SWITCHING"), output);
        assertTrue(output.contains("0.091 of the answers, bound 0.100"), output);
        assertTrue(
                output.contains("100 answers  bad 3 (1.0 to 8.5%)  slow 4 (1.6 to 9.8%)"), output);
        assertTrue(output.contains("why: time is up: suspect by chat"), output);
    }

    @Example
    void oneServiceIsPrintedAsJson() throws IOException {
        assertEquals(0, status(TWO, "chat", "--json"));
        String output = out.toString();
        assertTrue(output.startsWith("[{") && output.contains("\"phase\":\"HALTED\""), output);
        assertTrue(output.contains("\"new\":{\"answers\":100,\"bad\":3,"), output);
        assertTrue(!output.contains("book"), output);
    }

    @Example
    void serviceWithoutRolloutIsReported() throws IOException {
        assertEquals(1, status(TWO, "other"));
        assertTrue(
                err.toString().contains("no line reports a roll-out of 'other'"), err.toString());
    }

    @Example
    void missingLogIsReported() throws IOException {
        assertEquals(2, status("", "--log", "/nowhere/gateway.log"));
        assertTrue(err.toString().contains("/nowhere/gateway.log"), err.toString());
    }
}
