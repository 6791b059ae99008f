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
package io.trailladder.cli.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.cli.fault.Caller.Reply;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.platform.http.HostPort;
import io.trailladder.testkit.EngineStandIn;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;

/** Bad input gets a clear answer, costs bounded memory, and loses nothing. */
class BadInputTest {
    private static final String ORGANISATION = "banco-sur";
    private static final String KEY = Deployment.key(ORGANISATION);

    private static Deployment deployment() throws IOException {
        Deployment system = new Deployment();
        system.engine("e-1", "baires-a");
        system.service("s-1", "baires-a");
        system.table(List.of(ORGANISATION), List.of("baires-a"));
        system.entry("baires-a");
        system.awaitReady();
        return system;
    }

    private static Socket open(EntryDaemon entry, String request) throws IOException {
        HostPort address = HostPort.parse(entry.self().callerAddress());
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(15_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        return socket;
    }

    private static String post(String path, int length, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + KEY
                + "\r\nContent-Length: "
                + length
                + "\r\n\r\n"
                + body;
    }

    private static String streamRequest(int tokens) {
        String body =
                "{\"model\":\"modelo-hipo\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":"
                        + tokens
                        + "}";
        return post("/v1/completions", body.length(), body);
    }

    @Example
    void wrongRequestsAreRefusedWithAReason() throws IOException {
        try (Deployment system = deployment()) {
            String entry = system.entries.get(0).self().callerAddress();
            Caller caller = new Caller(entry, KEY);
            Reply malformed = caller.call("/v1/completions", "{\"model\":");
            assertEquals(400, malformed.status());
            assertTrue(malformed.body().contains("not valid JSON"), malformed.body());
            assertEquals(400, caller.call("/v1/completions", "{\"model\":\"m\"}").status());
            assertEquals(
                    403,
                    caller.call("/v1/completions", "{\"model\":\"otro\",\"prompt\":\"x\"}")
                            .status());
            assertEquals(403, caller.call("/services/otro/x", "x").status());
            assertEquals(404, caller.call("/v2/nothing", "{}").status());
            assertEquals(413, caller.call("/v1/completions", "x".repeat(2 << 20)).status());
            Reply stranger = new Caller(entry, "guess").call("/v1/completions", "{}");
            assertEquals(401, stranger.status());
            assertEquals("not-run", stranger.outcome());
            assertEquals(200, caller.call("/services/calculo/x", "still serves").status());
        }
    }

    @Example
    void halfABodyThenSilenceIsEnded() throws IOException {
        try (Deployment system = deployment();
                Socket socket =
                        open(system.entries.get(0), post("/v1/completions", 100, "{\"mod"))) {
            InputStream in = socket.getInputStream();
            String answer = new String(in.readNBytes(20), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
        }
    }

    @Example
    void callerThatClosesInMidStreamCancelsItsEngine() throws IOException {
        try (Deployment system = deployment()) {
            EngineStandIn engine = system.engines.get("e-1");
            Socket socket = open(system.entries.get(0), streamRequest(10_000));
            socket.getInputStream().readNBytes(2_000);
            socket.close();
            Deployment.await(() -> engine.cancelled() == 1);
        }
    }

    @Example
    void callerThatDoesNotReadHoldsNothingUpAndIsServedWhenItReads() throws Exception {
        try (Deployment system = deployment()) {
            Socket slow = open(system.entries.get(0), streamRequest(3_000));
            Caller other = new Caller(system.entries.get(0).self().callerAddress(), KEY);
            assertTrue(other.stream("otro", 100, token -> {}).whole());
            Deployment.pause(1_000);
            StringBuilder tail = new StringBuilder();
            byte[] buffer = new byte[8192];
            while (tail.indexOf("data: [DONE]") < 0) {
                int count = slow.getInputStream().read(buffer);
                assertTrue(count > 0, "stream ended early");
                tail.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                tail.delete(0, Math.max(0, tail.length() - 100));
            }
            slow.close();
        }
    }

    @Example
    void strangerOnAPeerLinkIsClosed() throws IOException {
        try (Deployment system = deployment()) {
            HostPort peer = HostPort.parse(system.entries.get(0).self().peerAddress());
            try (Socket socket = new Socket(peer.host(), peer.port())) {
                socket.setSoTimeout(15_000);
                socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 1, 9, 0});
                socket.getOutputStream().flush();
                InputStream in = socket.getInputStream();
                int total = 0;
                while (in.read() >= 0) {
                    total++;
                }
                assertTrue(total < 1_000, "only the greeting was sent");
            }
        }
    }
}
