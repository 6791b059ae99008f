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

/** Tests the exit codes and error messages of the command line. */
class CommandLineTest {
    private final StringWriter err = new StringWriter();
    private final StringWriter out = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = TrailladderCommand.commandLine();
        commandLine.setErr(new PrintWriter(err, true));
        commandLine.setOut(new PrintWriter(out, true));
        return commandLine.execute(args);
    }

    private static Path file(String content) throws IOException {
        Path file = Files.createTempFile("trailladder", ".tmp");
        file.toFile().deleteOnExit();
        return Files.writeString(file, content);
    }

    @Example
    void everyInvalidEntryOptionIsReportedAtOnce() {
        int code = run("entry", "--caller-address=x", "--patience=soon", "--foreign=maybe");
        assertEquals(2, code);
        String text = err.toString();
        assertTrue(text.contains("--caller-address 'x', expected HOST:PORT"), text);
        assertTrue(text.contains("--patience 'soon', expected a duration"), text);
        assertTrue(text.contains("--foreign 'maybe', expected relay or redirect"), text);
        assertTrue(text.contains("--data-centre is missing"), text);
    }

    @Example
    void typoGetsASuggestion() {
        assertEquals(2, run("tabel"));
        assertTrue(err.toString().contains("table"), err.toString());
    }

    @Example
    void badRowIsReportedWithFileLineColumnValueAndExpectedForm() throws IOException {
        Path table =
                file(
                        "organisation,target,kind,data_centres,weight,limit_per_s,latency_ms,"
                                + "repeatable,key_sha256\n"
                                + "banco-sur,modelo-hipo,model,baires-a,0,0,1200,yes,"
                                + "ab".repeat(32)
                                + "\n");
        assertEquals(1, run("table", "validate", table.toString()));
        String expected =
                table + ":2: column 'weight': found '0', expected a whole number from 1 to 1000";
        assertTrue(err.toString().contains(expected), err.toString());
    }

    @Example
    void missingTableFileIsReported() {
        assertEquals(1, run("table", "validate", "no-such-table.csv"));
        String expected = "error: FILE is 'no-such-table.csv', expected a CSV file that exists";
        assertTrue(err.toString().contains(expected), err.toString());
    }

    @Example
    void exampleTablesAreValid() {
        assertEquals(0, run("table", "validate", "../examples/plata.csv"), err.toString());
        assertEquals(0, run("table", "validate", "../examples/caafc.csv"), err.toString());
    }

    @Example
    void replayComparesWithTheStatedOutcomes() throws IOException {
        assertEquals(0, run("replay", "../examples/replay.jsonl"), err.toString());
        String trace = Files.readString(Path.of("../examples/replay.jsonl"));
        Path changed = file(trace.replace("\"expected\":\"e1\"", "\"expected\":\"e2\""));
        assertEquals(1, run("replay", changed.toString()));
        assertTrue(err.toString().contains("expected 'e2', decided 'e1'"), err.toString());
        assertEquals(1, run("replay", file("{}\n").toString()));
        assertEquals(2, run("replay", "no-such-file"));
    }

    @Example
    void invalidGatewayAddressIsReported() {
        assertEquals(2, run("refused", "--at", "gateway-1"));
        String expected = "--at 'gateway-1', expected HOST:PORT";
        assertTrue(err.toString().contains(expected), err.toString());
    }

    @Example
    void unreachableGatewayIsReported() {
        assertEquals(1, run("refused", "--at", "127.0.0.1:1"));
        assertTrue(err.toString().contains("error: "), err.toString());
    }
}
