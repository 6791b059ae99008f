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

import io.trailladder.entry.http.HeaderField;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An upstream that streams at its own pace and records which requests it ran. A part of its answers
 * has neither a length nor chunks; such a stream is broken off by an orderly close inside an event.
 */
final class SoakUpstream {
    /** Events of a whole stream. */
    static final int EVENTS = 12;

    private static final long EVENT_MILLIS = 15;
    private static final long IDLE_MILLIS = 60_000;
    private static final double REFUSED = 0.02;

    /** Part of the requests that are refused with a word of rest. */
    private static final double RESTS = 0.01;

    private static final int SHORTEST_REST_MILLIS = 100;
    private static final int LONGEST_REST_MILLIS = 2_500;
    private static final double FAILED = 0.02;
    private static final double CUT = 0.02;
    private static final int UNFRAMED_ONE_IN = 3;
    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final String id;
    private final SplittableRandom random;
    private final Map<String, Integer> runs;
    private final HttpServer server;
    private final FaultProxy proxy;
    private final StatementCheck statements;
    private final LimitCheck limits;
    private final OrganisationLimitCheck organisation;
    private final RetryCheck retries;
    private final StreamCheck streams;
    private final String version;
    private volatile boolean leaving;
    private double limit;
    private boolean calm;
    private boolean faultless;
    private boolean failing;

    /**
     * Creates an upstream; it listens at once.
     *
     * @param loop the loop whose thread runs it
     * @param id its name
     * @param version the version of its software
     * @param random draws its faults
     * @param runs counts, by attempt id, how often a request ran at any upstream
     * @param statements checks that gateways keep to what it says
     * @param limits checks that they keep to a limit that it names
     * @param organisation checks that they keep the limit of an organisation
     * @param retries counts the arrivals of requests
     * @param streams checks that streams go on at their version
     */
    SoakUpstream(
            EventLoop loop,
            String id,
            String version,
            SplittableRandom random,
            Map<String, Integer> runs,
            StatementCheck statements,
            LimitCheck limits,
            OrganisationLimitCheck organisation,
            RetryCheck retries,
            StreamCheck streams)
            throws IOException {
        this.version = version;
        this.streams = streams;
        this.statements = statements;
        this.limits = limits;
        this.organisation = organisation;
        this.retries = retries;
        this.loop = loop;
        this.id = id;
        this.random = random;
        this.runs = runs;
        this.server =
                new HttpServer(
                        loop, new ServerBounds(1 << 21, IDLE_MILLIS, IDLE_MILLIS), this::handle);
        server.start(new HostPort("127.0.0.1", 0));
        this.proxy = new FaultProxy(new HostPort("127.0.0.1", server.port()));
    }

    static Map<String, Integer> newRuns() {
        return new ConcurrentHashMap<>();
    }

    String id() {
        return id;
    }

    FaultProxy proxy() {
        return proxy;
    }

    /** Has all its answers say from now on that it leaves. */
    void leave() {
        leaving = true;
    }

    /** Has all its answers name a limit in requests a second from now on; 0 for none. */
    void limit(double perSecond) {
        limit = perSecond;
        if (perSecond > 0) {
            limits.begins(id, perSecond, loop.nowMillis());
        } else {
            limits.ends(id);
        }
    }

    /** Has it ask nobody for rest any more, and name no limit. */
    void calm() {
        calm = true;
        limit(0);
    }

    /** Has it fail and refuse no request any more. */
    void faultless() {
        faultless = true;
    }

    /** Has it fail every request, or none. */
    void failing(boolean now) {
        failing = now;
    }

    /** Returns its entry in the platform's store. */
    String entry(String state) {
        return String.format(
                "{\"service\": \"m\", \"address\": \"%s\", \"zone\": \"a\", \"slots\": 64,"
                        + " \"state\": \"%s\", \"version\": \"%s\"}",
                proxy.address(), state, version);
    }

    private void handle(ServerExchange exchange) {
        if (!exchange.headers().first("Expect-Instance").orElse(id).equals(id)) {
            exchange.respond(421, HeaderList.of("Instance-Id", id), NO_BYTES);
            return;
        }
        String attempt = exchange.headers().first("Attempt-Id").orElse("");
        retries.arrived(attempt);
        statements.arrived(id, attempt, loop.nowMillis());
        limits.arrived(id, attempt, loop.nowMillis());
        double drawn = faultless ? 1 : random.nextDouble();
        if (drawn < REFUSED) {
            exchange.respond(503, refusal(attempt, drawn < RESTS && !calm), NO_BYTES);
            return;
        }
        runs.merge(attempt, 1, Integer::sum);
        organisation.ran(attempt, loop.nowMillis());
        HeaderList stamps = stamps(attempt);
        if (failing || drawn < REFUSED + FAILED) {
            exchange.respond(500, stamps, NO_BYTES);
            return;
        }
        boolean cut = drawn < REFUSED + FAILED + CUT;
        if (exchange.headers().first("Token-Usage").isPresent()) {
            int after = Integer.parseInt(exchange.headers().first("Last-Event-Id").orElse("0"));
            String root = exchange.headers().first("Resumes").orElse(attempt);
            if (after > 0) {
                streams.resumed(root, version);
            } else {
                streams.began(root, version);
            }
            if (isUnframed(attempt)) {
                exchange.beginUnframed(200, stamps);
            } else {
                exchange.begin(200, stamps, -1);
            }
            stream(exchange, attempt, after + 1, cut);
        } else {
            loop.schedule(EVENT_MILLIS, () -> plain(exchange, stamps, attempt, cut));
        }
    }

    /** Returns whether the answer to an attempt ends with its connection. */
    private static boolean isUnframed(String attempt) {
        return Math.floorMod(attempt.hashCode(), UNFRAMED_ONE_IN) == 0;
    }

    private HeaderList refusal(String attempt, boolean rests) {
        HeaderList headers =
                limited(HeaderList.of("Not-Executed", "1").with("Attempt-Id", attempt), attempt);
        if (!rests) {
            return headers;
        }
        int millis = random.nextInt(SHORTEST_REST_MILLIS, LONGEST_REST_MILLIS);
        statements.askedForRest(id, attempt, millis, loop.nowMillis());
        return headers.with("Retry-After", String.format(Locale.ROOT, "%.3f", millis / 1000.0));
    }

    private HeaderList stamps(String attempt) {
        HeaderList stamps =
                new HeaderList(
                        List.of(
                                new HeaderField("Attempt-Id", attempt),
                                new HeaderField("Instance-Stamp", "stamp-" + id)));
        if (!leaving) {
            return limited(stamps, attempt);
        }
        statements.saidItLeaves(id, attempt, loop.nowMillis());
        return limited(stamps.with("Server-Leaving", "1"), attempt);
    }

    private HeaderList limited(HeaderList headers, String attempt) {
        if (limit == 0) {
            return headers;
        }
        limits.named(id, attempt, loop.nowMillis());
        return headers.with("Server-Limit", Double.toString(limit));
    }

    private static void plain(
            ServerExchange exchange, HeaderList stamps, String attempt, boolean cut) {
        if (exchange.isOver()) {
            return;
        }
        if (isUnframed(attempt)) {
            exchange.beginUnframed(200, stamps);
            exchange.write(bytes("answer " + (cut ? "" : attempt)));
        }
        if (cut) {
            exchange.abort();
        } else if (isUnframed(attempt)) {
            exchange.end();
        } else {
            exchange.respond(200, stamps, bytes("answer " + attempt));
        }
    }

    private void stream(ServerExchange exchange, String attempt, int event, boolean cut) {
        if (exchange.isOver()) {
            return;
        }
        if (cut && event == EVENTS / 2) {
            exchange.write(bytes("id: " + event + "\nda"));
            if (isUnframed(attempt)) {
                exchange.end();
            } else {
                exchange.abort();
            }
            return;
        }
        if (event > EVENTS) {
            exchange.end();
            return;
        }
        exchange.write(bytes("id: " + event + "\ndata: " + attempt + ' ' + event + "\n\n"));
        loop.schedule(EVENT_MILLIS, () -> stream(exchange, attempt, event + 1, cut));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
