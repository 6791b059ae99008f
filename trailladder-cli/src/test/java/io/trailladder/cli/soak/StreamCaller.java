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
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller that asks for streams, breaks some off, resumes what broke at any gateway, and checks
 * each event over all tries of a stream.
 */
final class StreamCaller implements Runnable {
    private static final long DEADLINE_MILLIS = 10_000;
    private static final int CONNECT_MILLIS = 1_000;

    /** How long a stream may be silent until its caller abandons it: four times its objective. */
    private static final int SILENT_MILLIS = 3_200;

    private static final int MAX_TRIES = 8;
    private static final double BREAKS_OFF = 0.3;
    private static final long PAUSE_MILLIS = 200;
    private static final long RETRY_MILLIS = 300;
    private static final double RETRY_FACTOR = 1.5;
    private static final Pattern EVENT =
            Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+)\n\n", Pattern.MULTILINE);

    private final StreamCluster cluster;
    private final SplittableRandom random;
    private final BooleanSupplier going;
    private final StreamObservations record;
    private final KeptConnections connections = new KeptConnections(CONNECT_MILLIS, SILENT_MILLIS);

    /** What a caller that resumes a stream says of how long it waits. */
    private enum Told {
        LEFT,
        SAME_AGAIN,
        SHORTER,
        NOTHING
    }

    /** One stream over all its tries. */
    static final class Stream {
        private final long startNanos = System.nanoTime();
        private long begunNanos;
        private final byte[] request;
        private final String hash;
        private final String name;
        private String begunBy = "";
        private String version = "";
        private int tries;
        private int last;
        private boolean isRight = true;
        private boolean isJoined;

        /** Whether the gateway where it began was in touch, so that others could learn of it. */
        private boolean begunInTouch;

        Stream(String name) {
            this.name = name;
            this.request = bytes("{\"stream\": \"" + name + "\"}");
            this.hash = StreamUpstream.hash(request);
        }

        long leftMillis() {
            return DEADLINE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
        }

        boolean hasBegun() {
            return last > 0;
        }

        boolean isJoined() {
            return isJoined;
        }
    }

    StreamCaller(
            StreamCluster cluster,
            SplittableRandom random,
            BooleanSupplier going,
            StreamObservations record) {
        this.cluster = cluster;
        this.random = random;
        this.going = going;
        this.record = record;
    }

    @Override
    public void run() {
        while (going.getAsBoolean()) {
            ask(newStream());
            pause(random.nextLong(PAUSE_MILLIS));
        }
        connections.close();
    }

    private Stream newStream() {
        return new Stream(Long.toHexString(random.nextLong()));
    }

    /** Begins a stream at a gateway, and breaks it off after some events. */
    Stream begin(int gateway, int events) {
        Stream stream = newStream();
        exchange(stream, gateway, events, Told.LEFT);
        return stream;
    }

    /** Resumes a stream at a gateway until its next event; returns whether that arrived. */
    boolean resume(Stream stream, int gateway) {
        int before = stream.last;
        exchange(stream, gateway, before + 1, Told.SAME_AGAIN);
        return stream.last > before;
    }

    /** Asks for a stream until it is whole, its deadline has passed or no try is left. */
    private void ask(Stream stream) {
        int breaksAfter =
                random.nextDouble() < BREAKS_OFF ? random.nextInt(1, StreamUpstream.EVENTS) : 0;
        Counted begins = new Counted();
        Counted goesOn = new Counted();
        Counted goesOnAfterLoss = new Counted();
        double pauseMillis = RETRY_MILLIS;
        for (int i = 0; i < MAX_TRIES && stream.leftMillis() > 0 && stream.isRight; i++) {
            boolean resumes = stream.hasBegun();
            int before = stream.last;
            int gateway = random.nextInt(cluster.size());
            boolean inTouch = cluster.isInTouch(gateway) && isServed(stream);
            if (!resumes) {
                stream.begunInTouch = cluster.isInTouch(gateway);
            }
            CallerAnswer answer = exchange(stream, gateway, breaksAfter, drawn(stream));
            boolean counts = inTouch && cluster.isInTouch(gateway) && isServed(stream);
            boolean success = stream.last > before;
            (resumes ? goesOn : begins).add(counts, success);
            if (resumes && stream.begunInTouch && cluster.hasLostAllSince(stream.begunNanos)) {
                goesOnAfterLoss.add(counts, success);
            }
            boolean done = stream.last == StreamUpstream.EVENTS;
            if (i == 0 && counts) {
                boolean met = record.metBytesWithoutEnd(stream.hash);
                boolean isBrokenOff = breaksAfter > 0 && stream.last >= breaksAfter;
                (met ? record.wholeAfterBytes : record.whole)
                        .add(isBrokenOff || (answer.whole() && done));
            }
            if (done || !going.getAsBoolean()) {
                break;
            }
            breaksAfter = 0;
            if (stream.last == before) {
                pause(Math.min((long) pauseMillis, Math.max(0, stream.leftMillis())));
                pauseMillis *= RETRY_FACTOR;
            }
        }
        begins.addTo(record.begun);
        goesOn.addTo(record.resumed);
        goesOnAfterLoss.addTo(record.resumedAfterLoss);
    }

    /** Returns whether two upstreams of the version that began a stream serve. */
    private boolean isServed(Stream stream) {
        return !stream.hasBegun() || cluster.releases().serving(stream.version) >= 2;
    }

    /** Whether a stream was asked for at a gateway in touch, and whether any try succeeded. */
    private static final class Counted {
        private boolean asked;
        private boolean succeeded;

        void add(boolean counts, boolean success) {
            asked |= counts || success;
            succeeded |= success;
        }

        void addTo(StreamObservations.Share share) {
            if (asked) {
                share.add(succeeded);
            }
        }
    }

    /** Checks that an answer continues its stream event by event. */
    private void check(Stream stream, CallerAnswer answer, boolean resumes) {
        Matcher events = EVENT.matcher(answer.body());
        String attempt = answer.headers().getOrDefault("attempt-id", "");
        int from = stream.last;
        while (events.find()) {
            int id = Integer.parseInt(events.group(1));
            String version = events.group(2);
            if (!stream.hasBegun()) {
                stream.begunNanos = System.nanoTime();
                stream.version = version;
                stream.begunBy = attempt;
            }
            if (!version.equals(stream.version) && !stream.isJoined) {
                stream.isJoined = true;
                record.joined(
                        describe(stream, from, resumes)
                                + " joined, goes on at "
                                + version
                                + " with "
                                + id);
            }
            if (!events.group(3).equals(stream.hash)) {
                stream.isRight = false;
                record.violation(
                        describe(stream, from, resumes)
                                + " holds an event of another request: "
                                + id);
            }
            if (id != stream.last + 1) {
                stream.isRight = false;
                record.misplaced(stream.hash, id, stream.last, describe(stream, from, resumes));
                return;
            }
            stream.last = id;
        }
        if (answer.whole() && stream.last < StreamUpstream.EVENTS) {
            stream.isRight = false;
            record.violation(
                    describe(stream, from, resumes) + " ends as whole after " + stream.last);
        }
    }

    private static String describe(Stream stream, int from, boolean resumes) {
        return stream.name
                + ": stream of "
                + stream.version
                + (resumes ? ", resumed after " + from + "," : "");
    }

    private CallerAnswer exchange(Stream stream, int gateway, int breaksAfter, Told told) {
        boolean resumes = stream.hasBegun();
        CallerAnswer answer = answer(stream, gateway, breaksAfter, told);
        if (answer.status() == 200) {
            check(stream, answer, resumes);
        }
        return answer;
    }

    private CallerAnswer answer(Stream stream, int gateway, int breaksAfter, Told told) {
        HostPort target = cluster.callers(gateway);
        try {
            Socket socket = connections.openConnection(target);
            socket.getOutputStream().write(request(stream, told));
            String broken = "id: " + breaksAfter + "\n";
            CallerAnswer answer =
                    CallerAnswer.read(
                            socket,
                            body ->
                                    stream.leftMillis() < 0
                                            || (breaksAfter > 0 && body.contains(broken)));
            if (answer.closes()) {
                connections.drop(target);
            }
            return answer;
        } catch (IOException | RuntimeException e) {
            connections.drop(target);
            return CallerAnswer.NONE;
        }
    }

    private static byte[] request(Stream stream, Told told) {
        StringBuilder head = new StringBuilder("POST /stream/x HTTP/1.1\r\n");
        head.append("Host: h.example\r\nAuthorization: Bearer key\r\n");
        field(head, "Attempt-Id", stream.name + '-' + stream.tries++);
        tellDeadline(head, stream, told);
        field(head, "Model", "m");
        field(head, "Token-Usage", "100,36");
        field(head, "Prefix-Hash", "a1:60," + stream.hash.toLowerCase(Locale.ROOT) + ":40");
        field(head, "Content-Length", Integer.toString(stream.request.length));
        if (stream.hasBegun()) {
            field(head, "Resumes", stream.begunBy);
            field(head, "Last-Event-Id", Integer.toString(stream.last));
        }
        return bytes(head + "\r\n" + new String(stream.request, StandardCharsets.UTF_8));
    }

    private Told drawn(Stream stream) {
        return stream.hasBegun() ? Told.values()[random.nextInt(Told.values().length)] : Told.LEFT;
    }

    private static void tellDeadline(StringBuilder head, Stream stream, Told told) {
        long millis =
                switch (told) {
                    case LEFT, NOTHING -> stream.leftMillis();
                    case SAME_AGAIN -> DEADLINE_MILLIS;
                    case SHORTER -> stream.leftMillis() / 2;
                };
        if (told != Told.NOTHING) {
            field(head, "Deadline-Ms", Long.toString(Math.max(1, millis)));
        }
    }

    private static void field(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
