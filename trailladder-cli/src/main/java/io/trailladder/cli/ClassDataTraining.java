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

import io.trailladder.core.membership.HubTopology;
import io.trailladder.entry.gateway.Membership;
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
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runs two linked gateways briefly against a simulated platform on the loopback interface, so that
 * the JVM archives the classes that a gateway loads. The archive shortens every later start.
 *
 * <p>Used by the build with {@code -XX:ArchiveClassesAtExit}.
 *
 * @since 0.2
 */
public final class ClassDataTraining {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String SERVICE = "service";
    private static final String REQUEST_ID = "0123456789abcdef";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int PROCESSES = 2;
    private static final int REQUESTS = 40;
    private static final long PAUSE_MILLIS = 50;

    /** In each interval of this many requests, the upstream rejects one and cuts off the next. */
    private static final int FAULT_INTERVAL_REQUESTS = 8;

    private static final long TIMEOUT_MILLIS = 6_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final byte[] NO_BYTES = {};

    /**
     * Link speeds in Mbit/s: strong and weak of the two processes, medium of an unreachable process
     * that ranks as a hub between them.
     */
    private static final int STRONG_MBPS = 1_000;

    private static final int MEDIUM_MBPS = 700;
    private static final int WEAK_MBPS = 500;

    /** Matches a process's membership entry inside a write to the store. */
    private static final Pattern MEMBER =
            Pattern.compile(
                    "\"private_key\":\"(" + Membership.PREFIX + "[^\"]*)\",\"value\":\"([^\"]*)\"");

    private final EventLoop loop = new EventLoop();
    private final HttpConnector connector = new HttpConnector(loop);
    private final CountDownLatch stopped = new CountDownLatch(PROCESSES);
    private HostPort platform;
    private HostPort seed;
    private final List<String> members = new ArrayList<>();
    private int answers;

    private ClassDataTraining() {}

    /**
     * Runs the gateways and exits the process, with code 0 if both stopped gracefully.
     *
     * @param args not used
     * @throws IOException if nothing can listen on the loopback interface
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.exit(new ClassDataTraining().train());
    }

    private int train() throws IOException, InterruptedException {
        platform = freePort();
        addUnreachable();
        ServerBounds bounds = new ServerBounds(MAX_BODY_BYTES, TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        new HttpServer(loop, bounds, this::handle).start(platform);
        loop.start();
        List<TrainedProcess> processes =
                List.of(
                        new TrainedProcess("one", STRONG_MBPS),
                        new TrainedProcess("two", WEAK_MBPS));
        for (TrainedProcess process : processes) {
            process.start();
        }
        for (TrainedProcess process : processes) {
            process.awaitReady();
        }
        for (int i = 0; i < REQUESTS; i++) {
            Thread.sleep(PAUSE_MILLIS);
            for (TrainedProcess process : processes) {
                loop.execute(() -> send(process.callers, "/route/call"));
                loop.execute(() -> send(process.health, "/ready"));
                loop.execute(() -> send(process.metrics, "/metrics"));
            }
        }
        processes.forEach(process -> process.gateway.stop());
        return stopped.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) ? 0 : 1;
    }

    /** One gateway that runs from a settings file, as in a deployment. */
    private final class TrainedProcess {
        private final HostPort callers = freePort();
        private final HostPort health = freePort();
        private final HostPort peers = freePort();
        private final HostPort metrics = freePort();
        private final ReadyListener ready = new ReadyListener();
        private final GatewayProcess gateway;

        TrainedProcess(String name, int linkMbps) throws IOException {
            Path file = Files.createTempFile("training", ".json");
            file.toFile().deleteOnExit();
            if (seed == null) {
                seed = peers;
            }
            Files.writeString(file, settings(name, linkMbps));
            gateway = new GatewayProcess(file);
        }

        void start() {
            Thread thread = new Thread(this::run, "training");
            thread.setDaemon(true);
            thread.start();
        }

        private void run() {
            try {
                gateway.run();
                stopped.countDown();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /**
         * Waits until the gateway is ready or the timeout is over. After the timeout the training
         * continues: the archive then lacks classes, but gateways still start.
         */
        private void awaitReady() throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            while (!ready.isSet() && System.nanoTime() - end < 0) {
                loop.execute(() -> send(health, "/ready", ready));
                Thread.sleep(PAUSE_MILLIS);
            }
        }

        private String settings(String name, int linkMbps) {
            return """
            {"node":{"name":"%s","data_centre":"zone","first_start":true},
             "capacity":{"core_share":1,"core_speed":1,"link_mbps":%d},
             "listen":{"callers":"%s","health":"%s","peers":"%s","metrics":"%s"},
             "seeds":["%s"],"store":"%s","cloud":"%s",
             "retries":{"ratio":0.1,"allowance":1,"window_s":6},
             "tolerance":{"ratio":0,"units":0},
             "timing":{"grace_s":6,"lease_ms":3000,"usage_window_s":1}}
            """
                    .formatted(
                            name, linkMbps, callers, health, peers, metrics, seed, platform,
                            platform);
        }
    }

    private void send(HostPort target, String path) {
        send(target, path, new IgnoringListener());
    }

    private void send(HostPort target, String path, CallListener listener) {
        HeaderList headers =
                new HeaderList(
                        List.of(
                                new HeaderField("Host", "training"),
                                new HeaderField("Attempt-Id", REQUEST_ID),
                                new HeaderField("Token-Usage", "10,10"),
                                new HeaderField("Prefix-Hash", "a:5,b:5"),
                                new HeaderField("Authorization", "Bearer key")));
        OutgoingCall call =
                new OutgoingCall(
                        target, "POST", path, headers, NO_BYTES, TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        connector.send(call, listener);
    }

    private void handle(ServerExchange exchange) {
        String path = exchange.uri();
        if (path.contains("kv-txn")) {
            recordMember(exchange.body());
        }
        if (path.contains("kv-watch")) {
            loop.schedule(TIMEOUT_MILLIS, () -> respond(exchange, "{\"events\":[],\"at\":2}"));
        } else if (path.contains("op%2Fconfig")) {
            respond(exchange, listing("op/config", policy()));
        } else if (path.contains("live%2Fnode")) {
            respond(exchange, "{\"entries\":[" + String.join(",", members) + "],\"at\":2}");
        } else if (path.contains("servers%2F")) {
            respond(exchange, listing("servers/one", upstream()));
        } else if (path.startsWith("/v1/") || path.equals("/usage") || path.equals("/scale")) {
            respond(
                    exchange,
                    "{\"entries\":[],\"lease\":1,\"ttl_ms\":1000,\"revision\":3,\"at\":3}");
        } else {
            answerAsUpstream(exchange);
        }
    }

    /** Stores the membership entry of a process for later listings; ignores other writes. */
    private void recordMember(byte[] body) {
        Matcher put = MEMBER.matcher(new String(body, StandardCharsets.UTF_8));
        if (put.find()) {
            members.add(entry(put.group(1), put.group(2)));
        }
    }

    /** Adds unreachable members, enough that one of the two processes acts as a leaf. */
    private void addUnreachable() {
        for (int i = 0; i < HubTopology.FULL_MESH_MAX_PROCESSES; i++) {
            String name = "none-" + i;
            String value =
                    "{\"name\":\"%s\",\"dataCentre\":\"zone\",\"address\":\"%s:1\",\"linkMbps\":%d,\"cores\":1}"
                            .formatted(name, LOOPBACK, i == 0 ? MEDIUM_MBPS : 1);
            members.add(entry(Membership.PREFIX + name, encoded(value)));
        }
    }

    /** Answers as an upstream does, in several parts; some requests fail. */
    private void answerAsUpstream(ServerExchange exchange) {
        answers++;
        if (answers % FAULT_INTERVAL_REQUESTS == 1) {
            exchange.respond(UNAVAILABLE, HeaderList.of("Not-Executed", "1"), NO_BYTES);
            return;
        }
        HeaderList stamps = HeaderList.of("Attempt-Id", REQUEST_ID).with("Instance-Stamp", "one");
        exchange.begin(OK, stamps, -1);
        exchange.write("id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
        if (answers % FAULT_INTERVAL_REQUESTS == 2) {
            loop.schedule(1, exchange::abort);
            return;
        }
        loop.schedule(1, () -> exchange.write("id: 2\n".getBytes(StandardCharsets.UTF_8)));
        loop.schedule(2, () -> exchange.write("data: y\n\n".getBytes(StandardCharsets.UTF_8)));
        loop.schedule(3, exchange::end);
    }

    private static void respond(ServerExchange exchange, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.respond(OK, HeaderList.of("Content-Type", "application/json"), body);
    }

    private static String listing(String key, String value) {
        return "{\"entries\":[" + entry(key, encoded(value)) + "],\"at\":2}";
    }

    private static String entry(String key, String encoded) {
        return "{\"private_key\":\"%s\",\"value\":\"%s\",\"revision\":1,\"made\":1}"
                .formatted(key, encoded);
    }

    private static String encoded(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private static String policy() {
        return """
        {"version":1,
         "routes":[{"name":"r","host":"training","path_prefix":"/route/",
           "route_type":"streaming","timeout_ms":5000,"slo_ms":1000,"service":"%s",
           "max_attempts":2,"resumable":true}],
         "services":[{"name":"%s","max_conns":10,"engine":{"slots":8,"moves":true},
           "scaling":{"min":1,"max":2,"boot_s":4,"spot_price":0.5,"zone_prices":{"zone":1}}}],
         "tenants":[{"name":"t","api_keys":["key"],"unit":"tokens","rate_per_s":1000,
           "burst":1000}]}
        """
                .formatted(SERVICE, SERVICE);
    }

    private String upstream() {
        return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone\",\"slots\":8}"
                .formatted(SERVICE, platform);
    }

    private static HostPort freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new HostPort(LOOPBACK, socket.getLocalPort());
        }
    }

    /** Records whether a process has answered that it is ready. */
    private static final class ReadyListener extends IgnoringListener {
        private volatile boolean set;

        boolean isSet() {
            return set;
        }

        @Override
        public void head(int status, HeaderList headers, long length) {
            if (status == OK) {
                set = true;
            }
        }
    }

    /** Ignores an answer. */
    private static class IgnoringListener implements CallListener {
        @Override
        public void head(int status, HeaderList headers, long length) {}

        @Override
        public void body(byte[] bytes) {}

        @Override
        public void ended() {}

        @Override
        public void endedUnframed() {}

        @Override
        public void failed(CallFailure failure) {}
    }
}
