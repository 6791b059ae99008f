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

/** Tests that {@code losses} counts unserved and late requests from the lines of gateways. */
class LossesCommandTest {
    private final StringWriter err = new StringWriter();
    private final StringWriter out = new StringWriter();

    private int losses(String log, String... options) throws IOException {
        Path file = Files.createTempFile("trailladder", ".log");
        file.toFile().deleteOnExit();
        Files.writeString(file, log);
        String[] args = new String[options.length + 2];
        args[0] = "losses";
        System.arraycopy(options, 0, args, 1, options.length);
        args[args.length - 1] = file.toString();
        return run(args);
    }

    private int run(String... args) {
        CommandLine commandLine = TrailladderCommand.commandLine();
        commandLine.setErr(new PrintWriter(err, true));
        commandLine.setOut(new PrintWriter(out, true));
        return commandLine.execute(args);
    }

    private static String line(int second, String decision) {
        return "e-1 {\"time\":\"2026-12-02T13:00:0%dZ\",\"decision\":{%s}}%n"
                .formatted(second, decision.replace('\'', '"'));
    }

    private static String taken(int second, String id, String outcome) {
        return line(
                second,
                "'kind':'Intake','id':'%s','route':'chat','organisation':'acme','objectiveMs':300,'outcome':'%s'"
                        .formatted(id, outcome));
    }

    private static String sent(int second, String id, String upstream) {
        return line(
                second,
                "'kind':'Dispatch','id':'%s','attempt':1,'upstream':'%s'".formatted(id, upstream));
    }

    private static String ended(int second, String id, String outcome, int firstMillis) {
        return line(
                second,
                "'kind':'Ended','id':'%s','outcome':'%s','status':%d,'firstMs':%d"
                        .formatted(id, outcome, outcome.equals("whole") ? 200 : 502, firstMillis));
    }

    private static String endedAfter(int second, String id, String outcome, long tookMillis) {
        return line(
                second,
                "'kind':'Ended','id':'%s','outcome':'%s','status':503,'firstMs':-1,'tookMs':%d"
                        .formatted(id, outcome, tookMillis));
    }

    private static String day() {
        return taken(0, "r1", "accepted")
                + sent(0, "r1", "u1")
                + ended(1, "r1", "whole", 120)
                + taken(1, "r2", "accepted")
                + sent(1, "r2", "u2")
                + ended(2, "r2", "whole", 900)
                + taken(2, "r3", "accepted")
                + sent(2, "r3", "u2")
                + line(2, "'kind':'AttemptFailed','id':'r3','upstream':'u2','failure':'BROKEN'")
                + ended(3, "r3", "MAY_HAVE_RUN", -1)
                + taken(4, "r4", "429, over limit of acme")
                + line(4, "'kind':'Lifecycle','what':'store','state':'lost'")
                + "no decision\n";
    }

    private void assertShows(String row) {
        String text = out.toString().replaceAll(" +", " ");
        assertTrue(text.contains(row), "no '" + row + "' in\n" + text);
    }

    @Example
    void fieldNamesOfThePreviousVersionAreRead() {
        String former = day().replace("\"upstream\":", "\"worker\":");
        DecisionLine dispatch =
                DecisionLine.parse(former.lines().skip(1).findFirst().orElseThrow()).orElseThrow();
        assertEquals("Dispatch", dispatch.kind());
        assertEquals("u1", dispatch.text("upstream"));
    }

    /** Guards against failures that do not show that the budget allowed no retry. */
    @Example
    void requestsWithoutARetryAreSummedApart() throws IOException {
        String failed =
                "'kind':'AttemptFailed','id':'r1','failure':'SERVER_ERROR','budgetEmpty':true";
        losses(
                taken(0, "r1", "accepted")
                        + line(1, failed)
                        + ended(2, "r1", "PASSED_ON", 100)
                        + retries(3, 90, 12)
                        + retries(5, 80, 30)
                        + retries(20, 90, 40));
        assertShows("PASSED_ON after SERVER_ERROR, no retry left 1 1 0");
        assertShows("retries, fullest 8 s from requests sent again allowed refused processes");
        assertShows("chat 2026-12-02T13:00:02Z 170 42 42 7 1");
    }

    private static String retries(int second, int requests, int sentAgain) {
        return line(
                second,
                "'kind':'RetryUse','service':'chat','forMs':1000,'requests':%d,'sentAgain':%d,'allowed':%d,'refused':%d"
                        .formatted(requests, sentAgain, sentAgain, second == 5 ? 7 : 0));
    }

    /** Guards against losses of a cut process that look like losses of its upstreams. */
    @Example
    void requestsThatNoPeerCouldRelayAreSummedByThePeersReason() throws IOException {
        String asked = "'kind':'RelayNotOpened','id':'r1','upstream':'u1','asked':%s,'reason':'%s'";
        String log =
                taken(0, "r1", "accepted")
                        + sent(0, "r1", "u1")
                        + line(1, asked.formatted("false", "NO_PATH"))
                        + line(1, asked.formatted("true", "FULL"))
                        + line(1, "'kind':'AttemptFailed','id':'r1','failure':'UNREACHABLE'")
                        + ended(1, "r1", "NOT_RUN", -1);
        assertEquals(0, losses(log), err.toString());
        assertShows("NOT_RUN after UNREACHABLE, peers NO_PATH 1 1 0");
    }

    @Example
    void requestsAreSummedByWhatTheyHaveInCommon() throws IOException {
        assertEquals(0, losses(day()), err.toString());
        assertShows("all 4 2 1");
        assertShows("MAY_HAVE_RUN after BROKEN 1 1 0");
        assertShows("refused: 429, over limit of acme 1 1 0");
        assertShows("late 1 0 1");
        assertShows("in time 1 0 0");
        assertShows("chat 4 2 1");
        assertShows("acme 4 2 1");
        assertShows("u2 2 1 1");
    }

    @Example
    void heldRequestsAreCountedApartFromThoseRefusedAtOnce() throws IOException {
        String log =
                day()
                        + taken(5, "r5", "accepted")
                        + line(5, "'kind':'TurnedAway','id':'r5','reason':'no upstream left'")
                        + endedAfter(5, "r5", "NOT_RUN", 3)
                        + taken(6, "r6", "accepted")
                        + endedAfter(8, "r6", "NOT_RUN", 1_500)
                        + taken(7, "r7", "accepted")
                        + endedAfter(9, "r7", "BROKEN_OFF", 2_000);
        assertEquals(0, losses(log), err.toString());
        assertShows("refused at once 2 2 0 0.0\n");
        assertShows("held, then refused 1 1 0 1.5\n");
        assertShows("broken off 1 1 0 2.0\n");
        assertShows("NOT_RUN after no upstream left 1 1 0 0.0\n");
        assertShows("all 7 5 1 3.5\n");
    }

    @Example
    void callsToTheStoreAreSummedByPurposeAndKind() throws IOException {
        String log =
                day()
                        + line(5, "'kind':'StoreUse','members renewal':3,'policy fresh read':1")
                        + line(9, "'kind':'StoreUse','members renewal':4");
        assertEquals(0, losses(log), err.toString());
        assertShows("calls to the store calls\nmembers renewal 7\npolicy fresh read 1\n");
    }

    @Example
    void secondsAreInOrderAndRowsAreLimited() throws IOException {
        assertEquals(0, losses(day(), "--by", "SECOND", "--most", "2"), err.toString());
        assertShows("0 1 0 0 0.0\n1 1 0 1 0.0\n");
        assertTrue(!out.toString().contains("\n4 "), out.toString());
    }

    @Example
    void logsWithoutRequestsAndMissingFilesAreReported() throws IOException {
        assertEquals(1, losses("nothing\n"));
        assertTrue(err.toString().contains("expected the logs of all gateways"), err.toString());
        assertEquals(2, run("losses", "/no/such.log"));
        assertTrue(err.toString().contains("'/no/such.log' does not exist"), err.toString());
    }

    @Example
    void upstreamEndsAreSummedOverAllTriesOfARequest() throws IOException {
        String ended = "'kind':'UpstreamEnded','id':'%s','request':'%s','upstream':'%s','ranMs':90";
        String log =
                taken(1, "t1", "accepted")
                        + line(1, ended.formatted("t1", "aa", "u1"))
                        + line(1, ended.formatted("t9", "bb", "u1"))
                        + line(2, ended.formatted("t1", "aa", "u2"))
                        + line(4, ended.formatted("t2", "aa", "u3"));
        assertEquals(0, losses(log));
        String rows = out.toString().replaceAll(" +", " ");
        assertTrue(rows.contains("\naa 3 2 2 1 3.0 2026-12-02T13:00:01Z"), rows);
        assertTrue(rows.contains("\nbb 1 0 1 1 0.0 2026-12-02T13:00:01Z"), rows);
    }

    /** Guards against a cause that different requests share and that no row shows. */
    @Example
    void upstreamEndsAreSummedOverAllRequestsWithAPart() throws IOException {
        String ended =
                "'kind':'UpstreamEnded','id':'%s','request':'%s','parts':['f-1','p-2'],"
                        + "'upstream':'%s','ranMs':90";
        String log =
                taken(1, "t1", "accepted")
                        + line(1, ended.formatted("t1", "aa", "u1"))
                        + line(2, ended.formatted("t2", "bb", "u2"))
                        + line(3, ended.formatted("t3", "cc", "u3"));
        assertEquals(0, losses(log));
        String rows = out.toString().replaceAll(" +", " ");
        assertTrue(rows.contains("\np-2 3 3 3 1 2.0 2026-12-02T13:00:01Z"), rows);
        assertTrue(rows.contains("\naa 1 1 1 1 0.0 2026-12-02T13:00:01Z"), rows);
    }

    private static String admitted(int second, String process, long units) {
        return process
                + line(
                        second,
                        "'kind':'Intake','id':'r','organisation':'acme','size':%d,'outcome':'accepted'"
                                .formatted(units));
    }

    private static String use(int second, String parts) {
        return line(second, "'kind':'LimitUse','organisation':'acme','forMs':1000," + parts);
    }

    @Example
    void unitsOfALimitAreSummedOverProcessesAndWindows() throws IOException {
        String log =
                day()
                        + admitted(1, "a ", 500)
                        + admitted(2, "b ", 700)
                        + admitted(8, "a ", 300)
                        + use(3, "'alone':700,'furtherTries':20,'refused':1,'oldestMs':90")
                        + use(9, "'othersUnknown':300,'oldestMs':1200");
        assertEquals(0, losses(log, "--window", "2", "--limit-of", "acme"), err.toString());
        assertShows("acme 2026-12-02T13:00:01Z 1200 700 0 20 0 0 3 90");
        assertShows("2026-12-02T13:00:08Z 300 0 300 0 0 0 1 1200");
    }

    @Example
    void lengthOfTheWindowMustBePositive() throws IOException {
        assertEquals(2, losses(day(), "--window", "0"));
        String text = err.toString();
        assertTrue(
                text.contains("--window is 0, expected a number of seconds of at least 1"), text);
    }
}
