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
package io.trailladder.cli.soak;

import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * A caller that asks gateways for streams and plain calls, keeps its connections until they end,
 * and checks every answer.
 */
final class SoakCaller implements Runnable {
    private static final int READ_MILLIS = 6_000;
    private static final int CONNECT_MILLIS = 500;
    private static final long PAUSE_MILLIS = 15;
    private static final long DEADLINE_MILLIS = 4_000;
    private static final int MAX_RESUMED = 3;

    private final List<HostPort> gateways;
    private final SplittableRandom random;
    private final BooleanSupplier going;
    private final Observations record;
    private final KeptConnections connections = new KeptConnections(CONNECT_MILLIS, READ_MILLIS);
    private CallerAnswer lastAnswer = CallerAnswer.NONE;

    /** A request that was told that it has not run, or whose answer promised as much. */
    record NotRun(String attempt, int status) {}

    /** What callers saw. */
    static final class Observations {
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final Queue<String> unsafe = new ConcurrentLinkedQueue<>();
        final Queue<NotRun> notRun = new ConcurrentLinkedQueue<>();
        final Queue<String> violations = new ConcurrentLinkedQueue<>();
        final RetryCheck retries;

        Observations(RetryCheck retries) {
            this.retries = retries;
        }
    }

    SoakCaller(
            List<HostPort> gateways,
            SplittableRandom random,
            BooleanSupplier going,
            Observations record) {
        this.gateways = gateways;
        this.random = random;
        this.going = going;
        this.record = record;
    }

    @Override
    public void run() {
        while (going.getAsBoolean()) {
            HostPort gateway = gateways.get(random.nextInt(gateways.size()));
            switch (random.nextInt(3)) {
                case 0 -> stream(gateway);
                case 1 -> call(gateway, "/unsafe/", true);
                default -> call(gateway, "/safe/", false);
            }
            pause();
        }
        connections.close();
    }

    /** Asks for one plain call; returns true if it was served. */
    boolean call(HostPort gateway, String path, boolean unsafe) {
        String attempt = attempt(gateway);
        record.retries.sent();
        if (unsafe) {
            record.unsafe.add(attempt);
        }
        CallerAnswer answer = ask(gateway, "GET " + path + "x", attempt, DEADLINE_MILLIS, "");
        boolean served = check(answer, attempt, unsafe);
        if (served && !answer.body().equals("answer " + attempt)) {
            violation(attempt, "another body: " + answer);
        }
        return served;
    }

    /** Returns the last answer; {@link CallerAnswer#NONE} if there was none. */
    CallerAnswer lastAnswer() {
        return lastAnswer;
    }

    /** Names a try, so that upstreams see which gateway it was sent to. */
    private String attempt(HostPort gateway) {
        return gateway.port() + "-" + Long.toHexString(random.nextLong());
    }

    /**
     * Asks for one stream, and resumes it if it breaks; returns true if its first answer was whole.
     */
    boolean stream(HostPort gateway) {
        long startNanos = System.nanoTime();
        String root = attempt(gateway);
        CallerAnswer answer = askStream(gateway, root, 0, DEADLINE_MILLIS, "");
        boolean whole = answer.status() == 200 && answer.whole();
        int last = lastEvent(answer, 0);
        for (int i = 0; i < MAX_RESUMED && !answer.whole() && last > 0; i++) {
            long waited = (System.nanoTime() - startNanos) / 1_000_000;
            if (last == SoakUpstream.EVENTS || waited >= DEADLINE_MILLIS) {
                break;
            }
            HostPort next = gateways.get(random.nextInt(gateways.size()));
            String fields = "Last-Event-Id: " + last + "\r\nResumes: " + root + "\r\n";
            answer = askStream(next, attempt(next), last, DEADLINE_MILLIS - waited, fields);
            last = lastEvent(answer, last);
        }
        return whole;
    }

    /** Asks for the events of a stream after one of them, and checks them. */
    private CallerAnswer askStream(
            HostPort gateway, String attempt, int after, long waitMillis, String resumes) {
        record.retries.sent();
        String fields = "Model: m\r\nToken-Usage: 100,36\r\nPrefix-Hash: a1:60,b2:40\r\n";
        CallerAnswer answer = ask(gateway, "POST /stream/x", attempt, waitMillis, fields + resumes);
        check(answer, attempt, false);
        if (answer.status() != 200) {
            return answer;
        }
        StringBuilder expected = new StringBuilder();
        for (int event = after + 1; event <= SoakUpstream.EVENTS; event++) {
            expected.append("id: " + event + "\ndata: " + attempt + ' ' + event + "\n\n");
        }
        boolean right =
                answer.whole()
                        ? expected.toString().equals(answer.body())
                        : expected.toString().startsWith(wholeEvents(answer.body()));
        if (!right) {
            violation(attempt, "stream is not the right one: " + answer);
        }
        return answer;
    }

    /** Returns the id of the last whole event; that of an earlier answer if there is none. */
    private static int lastEvent(CallerAnswer answer, int before) {
        String events = answer.status() == 200 ? wholeEvents(answer.body()) : "";
        int id = events.lastIndexOf("id: ");
        return id < 0
                ? before
                : Integer.parseInt(events.substring(id + 4, events.indexOf('\n', id)));
    }

    private static String wholeEvents(String body) {
        int end = body.lastIndexOf("\n\n");
        return end < 0 ? "" : body.substring(0, end + 2);
    }

    /** Checks what every answer must keep; returns true if it is a whole success. */
    private boolean check(CallerAnswer answer, String attempt, boolean unsafe) {
        record.asked.incrementAndGet();
        int status = answer.status();
        if (unsafe && List.of(408, 421, 429, 503).contains(status)) {
            record.notRun.add(new NotRun(attempt, status));
        }
        if (List.of(400, 401, 403, 404).contains(status)) {
            violation(attempt, "proper request denied: " + answer);
        }
        if (status != 200) {
            return false;
        }
        if (!answer.headers().containsKey("instance-stamp")) {
            violation(attempt, "success without the upstream's stamp: " + answer);
        }
        if (!answer.headers().getOrDefault("attempt-id", attempt).equals(attempt)) {
            violation(attempt, "answer of another request: " + answer);
        }
        if (answer.whole()) {
            record.served.incrementAndGet();
        }
        return answer.whole();
    }

    private void violation(String attempt, String what) {
        record.violations.add(attempt + ": " + what);
    }

    private CallerAnswer ask(
            HostPort gateway, String line, String attempt, long waitMillis, String fields) {
        lastAnswer = exchange(gateway, line, attempt, waitMillis, fields);
        return lastAnswer;
    }

    private CallerAnswer exchange(
            HostPort gateway, String line, String attempt, long waitMillis, String fields) {
        try {
            Socket socket = connections.connection(gateway);
            String head =
                    line
                            + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n"
                            + "Attempt-Id: "
                            + attempt
                            + "\r\nDeadline-Ms: "
                            + waitMillis
                            + "\r\n"
                            + fields
                            + (line.startsWith("POST") ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            CallerAnswer answer = CallerAnswer.read(socket);
            if (answer.closes()) {
                connections.drop(gateway);
            }
            return answer;
        } catch (IOException | RuntimeException e) {
            connections.drop(gateway);
            return CallerAnswer.NONE;
        }
    }

    private void pause() {
        try {
            Thread.sleep(random.nextLong(PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
