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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.platform.http.HttpReply;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Lists the requests that gateways refuse because upstreams ended while running them, or lifts the
 * refusal of one.
 *
 * <pre>{@code
 * trailladder refused --at 10.1.0.14:8225
 * trailladder refused --at 10.1.0.14:8225 --lift e71eba15b487212c
 * }</pre>
 *
 * @since 0.6
 */
@Command(
        name = "refused",
        mixinStandardHelpOptions = true,
        description =
                "List the requests that are refused because upstreams ended while running them,"
                        + " or lift the refusal of one.")
public final class RefusedCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/refused-requests";
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;
    private static final int EXIT_FAILED = 1;

    @Spec private CommandSpec spec;

    @Option(
            names = "--at",
            required = true,
            paramLabel = "HOST:PORT",
            description = "Metrics address of any gateway.")
    private String at;

    @Option(
            names = "--lift",
            paramLabel = "FINGERPRINT",
            description = "The request or part of prompts whose refusal all gateways lift.")
    private String lift;

    @Override
    public Integer call() throws IOException {
        HttpReply reply = lift == null ? send("GET", PATH) : send("DELETE", PATH + '/' + lift);
        if (reply.status() != OK) {
            PrintWriter err = spec.commandLine().getErr();
            err.println("gateway '" + at + "' answered " + reply.status() + ": " + reply.text());
            err.flush();
            return EXIT_FAILED;
        }
        PrintWriter out = spec.commandLine().getOut();
        if (lift == null) {
            print(out, JSON.readTree(reply.body()));
        } else {
            out.println("request '" + lift + "' is served again");
        }
        out.flush();
        return 0;
    }

    private HttpReply send(String method, String path) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (HttpClient client = new HttpClient(timer)) {
            HttpCall call =
                    new HttpCall(
                            target(), method, path, Map.of(), new byte[0], REQUEST_TIMEOUT_MILLIS);
            return client.call(call).join();
        } finally {
            timer.shutdownNow();
        }
    }

    private HostPort target() {
        try {
            return HostPort.parse(at);
        } catch (HostPort.BadAddressException e) {
            throw new ParameterException(
                    spec.commandLine(), "--at '" + at + "', expected HOST:PORT", e);
        }
    }

    private static void print(PrintWriter out, JsonNode requests) {
        if (requests.isEmpty()) {
            out.println("no request is refused");
            return;
        }
        out.printf(
                Locale.ROOT, "%-20s %9s %12s  %s%n", "request", "upstreams", "last ms ago", "is");
        for (JsonNode request : requests) {
            long last = Long.MAX_VALUE;
            for (JsonNode end : request.path("ends")) {
                last = Math.min(last, end.path("ageMs").asLong());
            }
            out.printf(
                    Locale.ROOT,
                    "%-20s %9d %12d  %s%n",
                    request.path("request").asText(),
                    request.path("ends").size(),
                    last,
                    request.path("verdict").asText().toLowerCase(Locale.ROOT).replace('_', ' '));
        }
    }
}
