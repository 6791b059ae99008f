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

import io.trailladder.cli.GatewayProcess;
import io.trailladder.platform.http.HostPort;
import io.trailladder.testkit.ReservedPorts;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One gateway as a process of its own, with a proxy before the platform's store. */
final class SoakGateway {
    private static final String SETTINGS =
            """
            {"node": {"name": "%s", "data_centre": "%s", "first_start": %s},
             "listen": {"callers": "%s", "health": "%s", "peers": "%s", "metrics": "%s"},
             "seeds": [], "store": "%s", "cloud": "%s",
             "retries": {"ratio": 0.2, "allowance": %s, "window_s": 10},
             "tolerance": {"ratio": 0.1, "units": 15},
             "timing": {"grace_s": 3, "lease_ms": 1500, "usage_window_s": 2}}
            """;
    private static final int READY_MILLIS = 500;

    /** Retries in each window that all gateways share, beyond the ratio. */
    static final int ALLOWANCE = 40;

    private final String name;
    private final String dataCentre;
    private final Path folder;
    private final FaultProxy store;
    private final int allowance;

    /** Held until this process ends, as a gateway is started again at the ports that it had. */
    private final ReservedPorts ports = new ReservedPorts();

    private final HostPort callers = reserve();
    private final HostPort health = reserve();
    private final HostPort peers = reserve();
    private final HostPort metrics = reserve();
    private Process process;
    private volatile boolean paused;
    private volatile boolean ending;

    SoakGateway(String name, Path folder, HostPort platform) throws IOException {
        this(name, "a", folder, platform);
    }

    SoakGateway(String name, String dataCentre, Path folder, HostPort platform) throws IOException {
        this(name, dataCentre, folder, platform, ALLOWANCE);
    }

    /** Creates a gateway that shares an allowance of retries with the others. */
    SoakGateway(String name, String dataCentre, Path folder, HostPort platform, int allowance)
            throws IOException {
        this.allowance = allowance;
        this.name = name;
        this.dataCentre = dataCentre;
        this.folder = folder;
        this.store = new FaultProxy(platform);
    }

    private HostPort reserve() throws IOException {
        return new HostPort("127.0.0.1", ports.reserve());
    }

    void start(boolean first) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        name,
                        dataCentre,
                        first,
                        callers,
                        health,
                        peers,
                        metrics,
                        store.address(),
                        store.address(),
                        allowance));
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        GatewayProcess.class.getName());
        builder.environment().put(GatewayProcess.SETTINGS_VARIABLE, settings.toString());
        builder.redirectErrorStream(true);
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        paused = false;
        ending = false;
    }

    HostPort callers() {
        return callers;
    }

    HostPort peers() {
        return peers;
    }

    FaultProxy store() {
        return store;
    }

    boolean isRunning() {
        return process.isAlive();
    }

    boolean isPaused() {
        return paused;
    }

    /** Sends a signal to this process only. */
    void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            String id = Long.toString(process.pid());
            new ProcessBuilder("kill", "-" + signal, id).start().waitFor();
            paused = signal.equals("STOP") || (paused && !signal.equals("CONT"));
            ending |= signal.equals("TERM");
        }
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Kills the process and closes its path to the store. */
    void close() throws IOException {
        try {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }

    /** Returns whether the process is ready. One that was told to stop says so for a moment. */
    boolean isReady() {
        if (ending) {
            return false;
        }
        try {
            URI uri = URI.create("http://" + health + "/v1/readyz");
            HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
            call.setConnectTimeout(READY_MILLIS);
            call.setReadTimeout(READY_MILLIS);
            return call.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    static List<HostPort> callers(List<SoakGateway> gateways) {
        return gateways.stream().map(SoakGateway::callers).toList();
    }
}
