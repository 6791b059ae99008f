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
package io.trailladder.bench;

import io.trailladder.adapter.GatewayRunner;
import io.trailladder.adapter.PlatformStandIn;
import io.trailladder.entry.http.CallFailure;
import io.trailladder.entry.http.CallListener;
import io.trailladder.entry.http.HeaderField;
import io.trailladder.entry.http.HeaderList;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.http.HttpServer;
import io.trailladder.entry.http.OutgoingCall;
import io.trailladder.entry.http.ServerBounds;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/** The store, the upstreams and the callers of measured gateways, all on one event loop. */
final class StandIns {
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    private static final int UPSTREAMS = 18;
    private static final int EVENTS = 10;
    private static final long EVENT_MILLIS = 30;
    private static final long LONG_MILLIS = 60_000;
    private static final int BODY_BYTES = 1 << 21;
    private static final int OK = 200;
    private static final byte[] PROMPT = "x".repeat(600).getBytes(StandardCharsets.UTF_8);
    private static final String POLICY =
            """
            {"version": 1,
             "routes": [{"name": "talk", "host": "bench.example", "path_prefix": "/talk/",
                "route_type": "streaming", "timeout_ms": 20000, "slo_ms": 2000, "service": "m",
                "max_attempts": 3, "resumable": true}],
             "services": [{"name": "m", "max_conns": 400, "engine": {"slots": 32, "moves": true},
               "scaling": {"min": 3, "max": 40, "boot_s": 4, "spot_price": 0.5,
                           "zone_prices": {"a": 1, "b": 1, "c": 1}}}],
             "tenants": [{"name": "one", "api_keys": ["key-1"], "unit": "tokens",
                          "rate_per_s": 10000000, "burst": 10000000},
                         {"name": "two", "api_keys": ["key-2"], "unit": "tokens",
                          "rate_per_s": 10000000, "burst": 10000000}]}
            """;

    private final EventLoop loop = new EventLoop();
    private final HttpConnector connector = new HttpConnector(loop);
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private PlatformStandIn platform;
    private int asked;

    static String dataCentre(int number) {
        return DATA_CENTRES.get(number % DATA_CENTRES.size());
    }

    /** Starts the store and the upstreams, which are listed in it. */
    HostPort start() throws IOException, ExecutionException, InterruptedException {
        loop.start();
        return GatewayRunner.onLoop(
                loop,
                () -> {
                    platform = new PlatformStandIn(loop);
                    platform.put("op/config", POLICY);
                    for (int i = 0; i < UPSTREAMS; i++) {
                        register(i);
                    }
                    return platform.address();
                });
    }

    private void register(int number) throws IOException {
        HttpServer server =
                new HttpServer(
                        loop,
                        new ServerBounds(BODY_BYTES, LONG_MILLIS, LONG_MILLIS),
                        exchange -> begin(number, exchange));
        server.start(new HostPort("127.0.0.1", 0));
        platform.put(
                "servers/w" + number,
                "{\"service\": \"m\", \"address\": \"127.0.0.1:%d\", \"zone\": \"%s\", \"slots\": 32, \"state\": \"ready\"}"
                        .formatted(server.port(), dataCentre(number)));
    }

    private void begin(int number, ServerExchange exchange) {
        String attempt = exchange.headers().first("Attempt-Id").orElse("");
        exchange.begin(
                OK,
                new HeaderList(
                        List.of(
                                new HeaderField("Attempt-Id", attempt),
                                new HeaderField("Instance-Stamp", "stamp-w" + number),
                                new HeaderField("Content-Type", "text/event-stream"))),
                -1);
        loop.schedule(EVENT_MILLIS, () -> event(exchange, 1));
    }

    private void event(ServerExchange exchange, int number) {
        if (exchange.isOver()) {
            return;
        }
        String text = "id: " + number + "\ndata: token " + number + "\n\n";
        exchange.write(text.getBytes(StandardCharsets.UTF_8));
        if (number == EVENTS) {
            exchange.end();
        } else {
            loop.schedule(EVENT_MILLIS, () -> event(exchange, number + 1));
        }
    }

    /** Sends requests to gateways in turn and waits for their ends. */
    void ask(List<HostPort> gateways, int each, double perSecond) throws InterruptedException {
        int before = whole.get() + other.get();
        int all = each * gateways.size();
        long startNanos = System.nanoTime();
        for (int i = 0; i < all; i++) {
            HostPort target = gateways.get(i % gateways.size());
            loop.execute(() -> ask(target));
            long dueNanos = startNanos + (long) (1e9 * (i + 1) / (perSecond * gateways.size()));
            long waitMillis = (dueNanos - System.nanoTime()) / 1_000_000;
            if (waitMillis > 0) {
                Thread.sleep(waitMillis);
            }
        }
        while (whole.get() + other.get() < before + all) {
            Thread.sleep(EVENT_MILLIS);
        }
    }

    private void ask(HostPort target) {
        asked++;
        String id = String.format("%016x", asked);
        HeaderList headers =
                new HeaderList(
                        List.of(
                                new HeaderField("Host", "bench.example"),
                                new HeaderField("Attempt-Id", id),
                                new HeaderField("Token-Usage", "400,10"),
                                new HeaderField(
                                        "Prefix-Hash", "common:100,h" + asked % 37 + ":300"),
                                new HeaderField("Authorization", "Bearer key-" + (1 + asked % 2)),
                                new HeaderField("Content-Type", "application/json")));
        OutgoingCall call =
                new OutgoingCall(
                        target, "POST", "/talk/go", headers, PROMPT, LONG_MILLIS, LONG_MILLIS);
        connector.send(call, new Caller());
    }

    int whole() {
        return whole.get();
    }

    int other() {
        return other.get();
    }

    /** Counts an answer. */
    private final class Caller implements CallListener {
        private int status;

        @Override
        public void head(int answered, HeaderList headers, long length) {
            status = answered;
        }

        @Override
        public void body(byte[] bytes) {}

        @Override
        public void ended() {
            (status == OK ? whole : other).incrementAndGet();
        }

        @Override
        public void endedUnframed() {
            other.incrementAndGet();
        }

        @Override
        public void failed(CallFailure failure) {
            other.incrementAndGet();
        }
    }
}
