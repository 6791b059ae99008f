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
package io.trailladder.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against different requests that share a part of their prompts which ends each upstream
 * that begins to answer them, in virtual time: they come at any process, with sound requests beside
 * them that share their other parts, while processes and links fail.
 */
class CrashingPartHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int FIRST_PARTS = 12;
    private static final int MIDDLE_PARTS = 60;
    private static final int TOKENS = 100;

    /** Time from the arrival of a request at its upstream to its first event, in milliseconds. */
    private static final long READING_MILLIS = 200;

    private static final long SURVIVAL_MILLIS = 500;
    private static final long ANSWERING_MILLIS = 1_000;
    private static final int MAX_ATTEMPTS = 2;

    /** From when on after the fifth end no process sends what others refuse, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Highest number of later sends while processes and links fail. */
    private static final int MAX_LATE_SENDS = 3;

    private static final double MAX_REFUSED = 0.05;

    private final List<Server> servers = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(20_261_204);
    private SimulatedCluster cluster;
    private Load load;
    private double badDue;
    private double soundDue;
    private long fifthEndMillis;
    private int badEnds;
    private int badSends;
    private int lateSends;
    private int sound;
    private int soundRefused;
    private int requests;
    private int lives;

    /**
     * What arrives.
     *
     * @param badPerSecond crashing requests a second, over all processes
     * @param soundPerSecond other requests a second
     * @param position the position of the crashing part, from 1
     * @param parts number of parts that are crashing
     */
    private record Load(double badPerSecond, double soundPerSecond, int position, int parts) {}

    /** One upstream: its present life, and when it serves again after an end. */
    private static final class Server {
        Upstream life;
        long backMillis;
    }

    /** One attempt at an upstream. */
    private static final class Run {
        final RequestIdentity identity;
        final boolean bad;
        final String process;
        final Server server;
        final Upstream life;
        final long sentMillis;
        final int attempt;
        boolean survived;

        Run(Request request, String process, Server server, long sentMillis, int attempt) {
            this.identity = request.identity();
            this.bad = request.bad();
            this.process = process;
            this.server = server;
            this.life = server.life;
            this.sentMillis = sentMillis;
            this.attempt = attempt;
        }
    }

    private record Request(RequestIdentity identity, boolean bad) {}

    @BeforeTry
    void start() {
        servers.clear();
        runs.clear();
        fifthEndMillis = Long.MAX_VALUE;
        badEnds = 0;
        badSends = 0;
        lateSends = 0;
        sound = 0;
        soundRefused = 0;
    }

    private void start(int processesPerDataCentre, int upstreams, Load arriving) {
        cluster = new SimulatedCluster(DATA_CENTRES, processesPerDataCentre, 10_000);
        for (int i = 0; i < upstreams; i++) {
            Server server = new Server();
            server.life = newLife();
            servers.add(server);
        }
        load = new Load(0, arriving.soundPerSecond(), 0, 0);
        cluster.advance(10_000);
        cluster.onStep(this::step);
        cluster.advance(5_000);
        load = arriving;
    }

    private Upstream newLife() {
        return new Upstream("w" + lives++, "s", "dc0", "h:1", 128, false, false, 0);
    }

    private void step() {
        long now = cluster.now();
        for (Server server : servers) {
            if (server.life == null && now >= server.backMillis) {
                server.life = newLife();
            }
        }
        for (Run run : List.copyOf(runs)) {
            if (runs.contains(run)) {
                go(run, now - run.sentMillis);
            }
        }
        badDue += load.badPerSecond() * SimulatedCluster.STEP_MILLIS / 1_000;
        soundDue += load.soundPerSecond() * SimulatedCluster.STEP_MILLIS / 1_000;
        for (; soundDue >= 1; soundDue--) {
            arrives(new Request(identity(0, 0), false));
        }
        for (; badDue >= 1; badDue--) {
            arrives(new Request(identity(load.position(), random.nextInt(load.parts())), true));
        }
    }

    private void go(Run run, long ageMillis) {
        if (ageMillis >= READING_MILLIS && run.bad) {
            end(run.server);
        } else if (ageMillis >= READING_MILLIS + ANSWERING_MILLIS) {
            runs.remove(run);
            watch(run).accept(crashes -> crashes.ranToCompletion(run.identity));
        } else if (ageMillis >= READING_MILLIS + SURVIVAL_MILLIS && !run.survived) {
            run.survived = true;
            watch(run).accept(crashes -> crashes.survived(run.identity));
        }
    }

    private Consumer<Consumer<CrashWatch>> watch(Run run) {
        return action -> {
            if (cluster.process(run.process).isRunning()) {
                action.accept(cluster.process(run.process).crashes());
            }
        };
    }

    private RequestIdentity identity(int badPosition, int badPart) {
        int number = requests++;
        int first = random.nextInt(FIRST_PARTS);
        String firstId = badPosition == 1 ? "bad" + badPart : "f" + first;
        String middleId = badPosition == 2 ? "bad" + badPart : "m" + random.nextInt(MIDDLE_PARTS);
        if (badPosition == 2) {
            firstId = "f" + badPart;
        }
        Prompt prompt =
                new Prompt(
                        TOKENS,
                        TOKENS,
                        List.of(
                                new PromptBlock(firstId, TOKENS),
                                new PromptBlock(middleId, TOKENS),
                                new PromptBlock("own" + number, TOKENS)));
        return new RequestIdentity(() -> new RequestTrait(number + 1), prompt);
    }

    private void arrives(Request request) {
        List<String> running =
                cluster.names().stream().filter(n -> cluster.process(n).isRunning()).toList();
        String process = running.get(random.nextInt(running.size()));
        boolean refused = cluster.process(process).crashes().refuses("t", request.identity());
        if (!request.bad()) {
            sound++;
            soundRefused += refused ? 1 : 0;
        }
        if (!refused) {
            send(request, process, 1);
        }
    }

    private void send(Request request, String process, int attempt) {
        List<Server> serving = servers.stream().filter(server -> server.life != null).toList();
        if (serving.isEmpty()) {
            return;
        }
        if (request.bad()) {
            badSends++;
            lateSends += cluster.now() - CONTACT_MILLIS > fifthEndMillis ? 1 : 0;
        }
        Server server = serving.get(random.nextInt(serving.size()));
        runs.add(new Run(request, process, server, cluster.now(), attempt));
    }

    /** Ends an upstream with all that runs there; what had not begun is sent again if it may be. */
    private void end(Server server) {
        badEnds++;
        if (badEnds == 5) {
            fifthEndMillis = cluster.now();
        }
        server.life = null;
        server.backMillis = cluster.now() + random.nextLong(1_000, 8_000);
        List<Run> ended = runs.stream().filter(run -> run.server == server).toList();
        runs.removeAll(ended);
        for (Run run : ended) {
            long age = cluster.now() - run.sentMillis;
            watch(run)
                    .accept(
                            crashes -> {
                                if (age >= READING_MILLIS + SURVIVAL_MILLIS) {
                                    crashes.recordEndWhileAnswering(
                                            "t", run.identity, run.life, age);
                                } else {
                                    crashes.recordEnd("t", run.identity, run.life, age);
                                }
                            });
        }
        for (Run run : ended) {
            watch(run)
                    .accept(
                            crashes -> {
                                if (run.attempt < MAX_ATTEMPTS
                                        && !crashes.refusesRetry(
                                                "t", run.identity, !run.survived)) {
                                    Request again = new Request(run.identity, run.bad);
                                    send(again, run.process, run.attempt + 1);
                                }
                            });
        }
    }

    private String figures() {
        return badEnds
                + " ends, "
                + badSends
                + " sends, "
                + lateSends
                + " of them late, "
                + soundRefused
                + " of "
                + sound
                + " sound requests refused";
    }

    private void assertKept(int maxLateSends) {
        System.out.println(cluster.names().size() + " processes, " + load + ": " + figures());
        assertTrue(lateSends <= maxLateSends, figures());
        assertTrue(soundRefused <= MAX_REFUSED * sound, figures());
    }

    private void assertKeptInCalm(int processesPerDataCentre, int upstreams, Load arriving) {
        start(processesPerDataCentre, upstreams, arriving);
        cluster.advance(20_000);
        assertKept(0);
    }

    @Example
    void sixProcessesRefuseAMiddlePart() {
        assertKeptInCalm(2, 9, new Load(4, 70, 2, 1));
    }

    @Example
    void sixProcessesRefuseAFirstPart() {
        assertKeptInCalm(2, 9, new Load(4, 70, 1, 1));
    }

    @Example
    void sixProcessesRefuseTwoParts() {
        assertKeptInCalm(2, 9, new Load(6, 70, 2, 2));
    }

    @Example
    void partOfRareRequestsIsRefused() {
        assertKeptInCalm(2, 9, new Load(1, 70, 2, 1));
    }

    @Example
    void partOfFrequentRequestsIsRefused() {
        assertKeptInCalm(10, 30, new Load(40, 240, 2, 1));
    }

    @Example
    void thirtyProcessesRefuseAFirstPart() {
        assertKeptInCalm(10, 30, new Load(10, 240, 1, 1));
    }

    @Example
    void soundPartsAreServedWhereMostRunBeside() {
        assertKeptInCalm(2, 9, new Load(4, 900, 2, 1));
    }

    @Example
    void soundPartsAreServedBesideAFirstPart() {
        assertKeptInCalm(2, 9, new Load(4, 900, 1, 1));
    }

    @Example
    void eightyProcessesRefuseAPart() {
        assertKeptInCalm(27, 80, new Load(10, 600, 2, 1));
    }

    @Example
    void partIsRefusedWhileProcessesRestart() {
        start(10, 30, new Load(8, 240, 2, 1));
        for (String name : cluster.names()) {
            cluster.kill(name);
            cluster.advance(300);
            cluster.restart(name);
        }
        cluster.advance(10_000);
        assertKept(MAX_LATE_SENDS);
    }

    @Example
    void partIsRefusedWhileADataCentreIsCutOff() {
        start(10, 30, new Load(8, 240, 2, 1));
        cluster.advance(200);
        List<String> cutOff = cluster.namesOf("dc1");
        cluster.cut((one, other) -> cutOff.contains(one) != cutOff.contains(other));
        cluster.advance(8_000);
        cluster.cut((one, other) -> false);
        cluster.advance(10_000);
        System.out.println("cut off: " + figures());
        assertTrue(badEnds <= 4 * 5, figures());
        assertTrue(soundRefused <= MAX_REFUSED * sound, figures());
    }
}
