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

/** Tests that {@code explain} derives the cause of a request's end from the lines of gateways. */
class ExplainCommandTest {
    private final StringWriter err = new StringWriter();
    private final StringWriter out = new StringWriter();

    private int explain(String id, String log) throws IOException {
        Path file = Files.createTempFile("trailladder", ".log");
        file.toFile().deleteOnExit();
        Files.writeString(file, log);
        return run("explain", id, file.toString());
    }

    private int run(String... args) {
        CommandLine commandLine = TrailladderCommand.commandLine();
        commandLine.setErr(new PrintWriter(err, true));
        commandLine.setOut(new PrintWriter(out, true));
        return commandLine.execute(args);
    }

    private static String line(String second, String decision) {
        return "e-1 {\"time\":\"2026-12-02T13:00:"
                + second
                + "Z\",\"decision\":"
                + decision
                + "}\n";
    }

    private static final String ACCEPTED =
            line(
                    "01.000",
                    "{\"kind\":\"Intake\",\"id\":\"r1\",\"policyVersion\":3,\"outcome\":\"accepted\"}");
    private static final String SENT =
            line(
                    "01.001",
                    "{\"kind\":\"Dispatch\",\"id\":\"r1\",\"attempt\":1,\"upstream\":\"u7\","
                            + "\"predictedMs\":40,\"running\":2}");

    /** Guards against a missing retry that looks like a route that allows none. */
    @Example
    void missingRetryIsExplainedByTheBudget() throws IOException {
        String log =
                ACCEPTED
                        + SENT
                        + line(
                                "02.000",
                                "{\"kind\":\"AttemptFailed\",\"id\":\"r1\",\"upstream\":\"u7\","
                                        + "\"failure\":\"SILENT\",\"afterMs\":900,"
                                        + "\"recovery\":\"give up, MAY_HAVE_RUN\","
                                        + "\"budgetEmpty\":true}")
                        + line(
                                "02.001",
                                "{\"kind\":\"Ended\",\"id\":\"r1\",\"outcome\":\"MAY_HAVE_RUN\","
                                        + "\"status\":502,\"attempts\":1}");
        assertEquals(0, explain("r1", log));
        String text = out.toString();
        assertTrue(text.contains("the retry budget of the service was used up"), text);
    }

    private static String brokenOffAfter(String answer) {
        return ACCEPTED
                + SENT
                + line("02.000", answer)
                + line(
                        "02.001",
                        "{\"kind\":\"AttemptFailed\",\"id\":\"r1\",\"upstream\":\"u7\","
                                + "\"failure\":\"PATH_LOST\",\"afterMs\":900,"
                                + "\"recovery\":\"give up, BROKEN_OFF\"}")
                + line(
                        "02.002",
                        "{\"kind\":\"Ended\",\"id\":\"r1\",\"outcome\":\"BROKEN_OFF\","
                                + "\"status\":0,\"attempts\":1}");
    }

    /** Guards against an answer without framing that looks as if its connection had broken. */
    @Example
    void brokenStreamIsExplainedByItsIncompleteEvent() throws IOException {
        String log =
                brokenOffAfter(
                        "{\"kind\":\"AnswerEnd\",\"id\":\"r1\",\"upstream\":\"u7\","
                                + "\"framing\":\"CONNECTION\",\"events\":3,"
                                + "\"incompleteBytes\":8,\"finding\":\"INCOMPLETE_STREAM\"}");
        assertEquals(0, explain("r1", log));
        String text = out.toString();
        assertTrue(text.contains("its answer ended as an incomplete stream"), text);
    }

    /** Guards against repeated events that look as if a connection had broken. */
    @Example
    void brokenStreamIsExplainedByItsEventOutOfOrder() throws IOException {
        String log =
                brokenOffAfter(
                        "{\"kind\":\"AnswerOutOfOrder\",\"id\":\"r1\",\"upstream\":\"u7\","
                                + "\"lastEvent\":\"3\",\"event\":\"1\",\"finding\":\"REPEATED\"}");
        assertEquals(0, explain("r1", log));
        String text = out.toString();
        assertTrue(text.contains("did not continue the stream that the caller has"), text);
    }

    /** Guards against answers of no one that look as if a connection had broken. */
    @Example
    void brokenStreamIsExplainedByAHeadWithoutIdentity() throws IOException {
        String log =
                brokenOffAfter(
                        "{\"kind\":\"AnswerUnidentified\",\"id\":\"r1\",\"upstream\":\"u7\","
                                + "\"status\":200,\"framing\":\"CONNECTION\","
                                + "\"identity\":\"UNPROVEN\"}");
        assertEquals(0, explain("r1", log));
        String text = out.toString();
        assertTrue(text.contains("did not show that it answers the request"), text);
    }

    @Example
    void brokenStreamIsExplainedByItsRemovedUpstream() throws IOException {
        String log =
                line(
                                "02.500",
                                "{\"kind\":\"Ended\",\"id\":\"r1\",\"outcome\":\"BROKEN_OFF\","
                                        + "\"status\":0,\"upstream\":\"u7\",\"attempts\":1}")
                        + ACCEPTED
                        + SENT
                        + line(
                                "02.000",
                                "{\"kind\":\"Belief\",\"what\":\"upstream u7\",\"value\":\"gone\"}")
                        + line(
                                "02.000",
                                "{\"kind\":\"Belief\",\"what\":\"upstream u8\",\"value\":\"gone\"}")
                        + line(
                                "02.400",
                                "{\"kind\":\"AttemptFailed\",\"id\":\"r1\",\"upstream\":\"u7\","
                                        + "\"failure\":\"BROKEN\",\"afterMs\":1400,"
                                        + "\"recovery\":\"give up, BROKEN_OFF\"}")
                        + "a line that is no decision\n";
        assertEquals(0, explain("r1", log), err.toString());
        String text = out.toString();
        assertTrue(text.contains("upstream u7 BROKEN after 1400 ms"), text);
        assertTrue(text.contains("\"value\":\"gone\""), text);
        assertTrue(!text.contains("u8"), text);
        assertTrue(text.indexOf("Intake") < text.indexOf("Dispatch"), text);
    }

    /** Guards against blaming upstreams for the lost path of the process that called them. */
    @Example
    void unreachableUpstreamIsExplainedByTheLostPathOfTheProcess() throws IOException {
        String log =
                ACCEPTED
                        + SENT
                        + line(
                                "01.100",
                                "{\"kind\":\"PathState\",\"state\":\"ISOLATED\","
                                        + "\"failedUpstreams\":3,\"throughPeers\":2}")
                        + line(
                                "01.400",
                                "{\"kind\":\"RelayNotOpened\",\"id\":\"r1\",\"upstream\":\"u7\","
                                        + "\"peer\":\"e-2\",\"asked\":false,\"reason\":\"FULL\"}")
                        + line(
                                "01.401",
                                "{\"kind\":\"AttemptFailed\",\"id\":\"r1\",\"upstream\":\"u7\","
                                        + "\"failure\":\"UNREACHABLE\",\"afterMs\":400,"
                                        + "\"recovery\":\"give up, NOT_RUN\"}")
                        + line(
                                "01.402",
                                "{\"kind\":\"Ended\",\"id\":\"r1\",\"outcome\":\"NOT_RUN\","
                                        + "\"status\":503,\"attempts\":0}");
        assertEquals(0, explain("r1", log), err.toString());
        String text = out.toString();
        assertTrue(text.contains("the process had lost its own path to all upstreams"), text);
        assertTrue(text.contains("\"reason\":\"FULL\""), text);
    }

    @Example
    void refusalNamesLimitAndPolicyVersion() throws IOException {
        String log =
                line(
                        "01.000",
                        "{\"kind\":\"Intake\",\"id\":\"r1\",\"policyVersion\":3,"
                                + "\"outcome\":\"429, over limit of t\"}");
        assertEquals(0, explain("r1", log));
        assertTrue(out.toString().contains("429, over limit of t; decided by policy version 3"));
    }

    @Example
    void streamThatIsNotResumedIsExplainedByTheEntryThatRefused() throws IOException {
        String log =
                line(
                                "01.000",
                                "{\"kind\":\"HandOver\",\"id\":\"r1\",\"sender\":\"a\",\"heir\":\"b\","
                                        + "\"tokens\":50,\"answer\":\"REFUSED\"}")
                        + line(
                                "01.001",
                                "{\"kind\":\"TakeUp\",\"id\":\"r1\",\"from\":\"a\",\"tokens\":50,"
                                        + "\"cause\":\"HANDED_OVER\",\"result\":\"STOPPING\"}")
                        + line(
                                "01.900",
                                "{\"kind\":\"AskedAgain\",\"id\":\"r1\",\"fromEvent\":50,"
                                        + "\"found\":\"NOWHERE\",\"tries\":2}");
        assertEquals(0, explain("r1", log), err.toString());
        assertTrue(
                out.toString()
                        .contains(
                                "caller requested event 50, and no entry had the request in 2 tries: it was not"
                                        + " resumed at e-1, HANDED_OVER: STOPPING"),
                out.toString());
    }

    @Example
    void streamResumedAtAnotherEntryIsExplainedByItsPath() throws IOException {
        String log =
                line(
                                "01.001",
                                "{\"kind\":\"TakeUp\",\"id\":\"r1\",\"from\":\"a\",\"tokens\":50,"
                                        + "\"cause\":\"HOLDER_LOST\",\"result\":\"GOES_ON\"}")
                        + line(
                                "01.200",
                                "{\"kind\":\"AskedAgain\",\"id\":\"r1\",\"fromEvent\":50,"
                                        + "\"found\":\"AT_PEER\",\"peer\":\"b\",\"tookMs\":7}");
        assertEquals(0, explain("r1", log), err.toString());
        assertTrue(
                out.toString()
                        .contains(
                                "it moved from a to e-1 with 50 tokens, HOLDER_LOST: GOES_ON;"
                                        + " its caller found it AT_PEER b after 7 ms"),
                out.toString());
    }

    @Example
    void timedOutRequestReportsThePredictionForItsUpstream() throws IOException {
        String log =
                ACCEPTED
                        + SENT
                        + line(
                                "05.000",
                                "{\"kind\":\"Ended\",\"id\":\"r1\",\"outcome\":\"TIMED_OUT\","
                                        + "\"status\":504,\"firstMs\":-1}");
        assertEquals(0, explain("r1", log));
        assertTrue(
                out.toString().contains("expected to answer within 40 ms with 2 requests there"),
                out.toString());
    }

    @Example
    void missingEndUnknownRequestAndMissingFileAreReported() throws IOException {
        assertEquals(0, explain("r1", ACCEPTED + SENT));
        assertTrue(out.toString().contains("its end is not logged"), out.toString());
        assertEquals(1, explain("r2", ACCEPTED));
        assertTrue(err.toString().contains("REQUEST-ID 'r2' is in no log line"), err.toString());
        assertEquals(2, run("explain", "r1", "no-such-file"));
        assertTrue(err.toString().contains("FILE 'no-such-file' does not exist"), err.toString());
    }
}
