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
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One gateway as a process of its own, run as {@code deploy/system.toml} says. */
final class MeasuredGateway {
    private static final String SETTINGS =
            """
            {"node": {"name": "%s", "data_centre": "%s", "first_start": true},
             "listen": {"callers": "%s", "health": "%s", "peers": "%s", "metrics": "%s"},
             "seeds": [], "store": "%s", "cloud": "%s",
             "retries": {"ratio": 0.2, "allowance": 1000, "window_s": 10},
             "timing": {"grace_s": 3, "lease_ms": 1500, "usage_window_s": 2}}
            """;
    private static final int ANSWER_MILLIS = 500;
    private static final long STOP_SECONDS = 15;

    private final HostPort callers = GatewayRunner.freePort();
    private final HostPort health = GatewayRunner.freePort();
    private final Process process;

    /**
     * Starts a process.
     *
     * @param name its name
     * @param dataCentre its data centre
     * @param folder where its settings and log go
     * @param platform the store
     * @param command the command that runs a gateway
     */
    MeasuredGateway(
            String name, String dataCentre, Path folder, HostPort platform, List<String> command)
            throws IOException {
        Path settings = folder.resolve(name + ".json");
        HostPort peers = GatewayRunner.freePort();
        HostPort metrics = GatewayRunner.freePort();
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        name, dataCentre, callers, health, peers, metrics, platform, platform));
        List<String> own = new ArrayList<>();
        command.forEach(word -> own.add(word.replace("NAME", folder.resolve(name).toString())));
        ProcessBuilder builder = new ProcessBuilder(own);
        builder.environment().put("TRAILLADDER_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    HostPort callers() {
        return callers;
    }

    boolean isReady() {
        if (!process.isAlive()) {
            throw new IllegalStateException("a gateway has ended, expected it to run; see its log");
        }
        try {
            URI uri = URI.create("http://" + health + "/ready");
            HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
            call.setConnectTimeout(ANSWER_MILLIS);
            call.setReadTimeout(ANSWER_MILLIS);
            return call.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }
}
