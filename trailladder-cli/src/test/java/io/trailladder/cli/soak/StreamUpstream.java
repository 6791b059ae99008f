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

import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * An upstream of one software version that only streams. Each event names that version and the
 * request. A part of the answers break off, resume at another event than was asked for, or never
 * end.
 */
final class StreamUpstream implements AutoCloseable {
    /** Events of a whole stream; their ids rise by one from 1. */
    static final int EVENTS = 30;

    private static final long EVENT_MILLIS = 50;
    private static final long IDLE_MILLIS = 60_000;
    private static final int SLOTS = 64;
    private static final double BREAKS_OFF = 0.1;
    private static final double ENDLESS = 0.1;
    private static final double RESUMES_WRONGLY = 0.04;
    private static final int EVENTS_BEFORE_BYTES = 5;
    private static final long BYTES_MILLIS = 10;
    private static final byte[] BYTES = new byte[16 * 1024];
    private static final byte[] NO_BYTES = {};

    static {
        Arrays.fill(BYTES, (byte) 'x');
    }

    private final EventLoop loop;
    private final String id;
    private final String version;
    private final SplittableRandom random;
    private final StreamObservations record;
    private final HttpServer server;
    private final FaultProxy proxy;

    /** Bytes without end in place of a stream, or of a part of it. */
    private enum Endless {
        BEFORE_EVENTS,
        AFTER_EVENTS,
        NO_STREAM
    }

    /** Where a stream goes on. */
    private enum Resume {
        RIGHTLY,
        FROM_ID_ASKED_FOR,
        FROM_FIRST,
        ONE_MISSING;

        private int firstEvent(int after) {
            return switch (this) {
                case RIGHTLY -> after + 1;
                case FROM_ID_ASKED_FOR -> after;
                case FROM_FIRST -> 1;
                case ONE_MISSING -> Math.min(after + 2, EVENTS);
            };
        }
    }

    /** Creates an upstream on the thread of its loop; it listens at once. */
    StreamUpstream(
            EventLoop loop,
            String id,
            String version,
            SplittableRandom random,
            StreamObservations record)
            throws IOException {
        this.loop = loop;
        this.id = id;
        this.version = version;
        this.random = random;
        this.record = record;
        this.server =
                new HttpServer(
                        loop, new ServerBounds(1 << 21, IDLE_MILLIS, IDLE_MILLIS), this::handle);
        server.start(new HostPort("127.0.0.1", 0));
        this.proxy = new FaultProxy(new HostPort("127.0.0.1", server.port()));
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    /** Returns its entry in the platform's store. */
    String entry(String state) {
        return String.format(
                "{\"service\": \"m\", \"address\": \"%s\", \"zone\": \"a\", \"slots\": %d,"
                        + " \"state\": \"%s\", \"version\": \"%s\"}",
                proxy.address(), SLOTS, state, version);
    }

    /** Ends it, which breaks off what it still answers. */
    @Override
    public void close() throws IOException {
        proxy.close();
        server.stopListening();
    }

    /** Returns the text that names a request in the events of its stream. */
    static String hash(byte[] request) {
        return Integer.toHexString(Arrays.hashCode(request));
    }

    /** Returns an event as it is sent. */
    static String event(int number, String version, String hash) {
        return "id: " + number + "\ndata: " + version + ' ' + hash + "\n\n";
    }

    private void handle(ServerExchange exchange) {
        if (!exchange.headers().first("Expect-Instance").orElse(id).equals(id)) {
            exchange.respond(421, HeaderList.of("Instance-Id", id), NO_BYTES);
            return;
        }
        String attempt = exchange.headers().first("Attempt-Id").orElse("");
        String hash = hash(exchange.body());
        HeaderList stamps =
                HeaderList.of("Attempt-Id", attempt).with("Instance-Stamp", "stamp-" + id);
        int after = Integer.parseInt(exchange.headers().first("Last-Event-Id").orElse("0"));
        if (random.nextDouble() < ENDLESS) {
            sendWithoutEnd(exchange, stamps, after, hash);
            return;
        }
        exchange.begin(200, stamps.with("Content-Type", "text/event-stream"), -1);
        Resume resume = after > 0 ? drawResume(hash) : Resume.RIGHTLY;
        int first = resume.firstEvent(after);
        int last = random.nextDouble() < BREAKS_OFF ? random.nextInt(first, EVENTS + 2) : EVENTS;
        stream(exchange, hash, first, last);
    }

    private Resume drawResume(String hash) {
        if (random.nextDouble() >= RESUMES_WRONGLY) {
            return Resume.RIGHTLY;
        }
        Resume wrong = Resume.values()[1 + random.nextInt(Resume.values().length - 1)];
        record.resumesWrongly(hash, id + ' ' + wrong);
        return wrong;
    }

    /** Sends the events from one to another, and breaks off if that is not the last one. */
    private void stream(ServerExchange exchange, String hash, int event, int last) {
        if (exchange.isOver()) {
            return;
        }
        if (event > EVENTS) {
            exchange.end();
        } else if (event > last) {
            exchange.write(bytes("id: " + event + "\nda"));
            exchange.abort();
        } else {
            exchange.write(bytes(event(event, version, hash)));
            loop.schedule(EVENT_MILLIS, () -> stream(exchange, hash, event + 1, last));
        }
    }

    private void sendWithoutEnd(
            ServerExchange exchange, HeaderList stamps, int after, String hash) {
        Endless kind = Endless.values()[random.nextInt(Endless.values().length)];
        record.sendsWithoutEnd(hash, id + ' ' + kind);
        String type = kind == Endless.NO_STREAM ? "application/json" : "text/event-stream";
        exchange.begin(200, stamps.with("Content-Type", type), -1);
        for (int i = 1; kind == Endless.AFTER_EVENTS && i <= EVENTS_BEFORE_BYTES; i++) {
            if (after + i <= EVENTS) {
                exchange.write(bytes(event(after + i, version, hash)));
            }
        }
        bytesWithoutEnd(exchange);
    }

    private void bytesWithoutEnd(ServerExchange exchange) {
        if (exchange.isOver()) {
            return;
        }
        if (exchange.isWritable()) {
            exchange.write(BYTES);
        }
        loop.schedule(BYTES_MILLIS, () -> bytesWithoutEnd(exchange));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
