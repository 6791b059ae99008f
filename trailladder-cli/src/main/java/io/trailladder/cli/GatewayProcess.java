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

import io.trailladder.adapter.CloudDuties;
import io.trailladder.adapter.HeadTranslator;
import io.trailladder.adapter.JsonTranslator;
import io.trailladder.adapter.KvStore;
import io.trailladder.core.TrailladderException;
import io.trailladder.entry.gateway.DecisionLog;
import io.trailladder.entry.gateway.DecisionLog.Lifecycle;
import io.trailladder.entry.gateway.Gateway;
import io.trailladder.entry.gateway.GatewaySettings;
import io.trailladder.entry.gateway.PlatformAdapter;
import io.trailladder.entry.gateway.SettingsException;
import io.trailladder.entry.gateway.SettingsReader;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.log.EarlyLines;
import io.trailladder.entry.log.LibraryLines;
import io.trailladder.entry.log.LineQueue;
import io.trailladder.entry.loop.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs one gateway with its settings file, its signal handlers and the adapter of the users'
 * platform.
 *
 * <p>Deployments start it by its own {@link #main} rather than by the command line, because the
 * classes of the command line library cannot be stored in the class data archive that shortens the
 * start.
 *
 * @since 0.2
 */
public final class GatewayProcess {
    /** The environment variable that names the settings file. */
    public static final String SETTINGS_VARIABLE = "TRAILLADDER_SETTINGS";

    private static final long SETTINGS_POLL_MILLIS = 1_000;

    /**
     * Delay between the start and the first written log line, in milliseconds, so that logging does
     * not slow the first requests after a restart.
     */
    private static final long LOG_DELAY_MILLIS = 2_000;

    /** Grizzly logs each broken connection, which is frequent with callers and upstreams. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private static final int USAGE_ERROR = 2;

    private final Path settingsFile;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private GatewaySettings settings;
    private Gateway gateway;
    private FileTime settingsTime;

    /**
     * Creates a process that is not started yet.
     *
     * @param settingsFile the settings file
     */
    public GatewayProcess(Path settingsFile) {
        this.settingsFile = settingsFile;
    }

    /**
     * Runs a gateway with the settings file that {@link #SETTINGS_VARIABLE} names.
     *
     * @param args not used
     * @throws IOException if it cannot listen
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        String file = System.getenv(SETTINGS_VARIABLE);
        if (file == null) {
            System.err.println(SETTINGS_VARIABLE + " is not set, expected a settings file");
            System.exit(USAGE_ERROR);
        }
        try {
            new GatewayProcess(Path.of(file)).run();
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_ERROR);
        }
        System.exit(0);
    }

    /**
     * Runs the gateway until it is stopped by a signal or by {@link #stop}.
     *
     * @throws IOException if it cannot listen
     * @throws InterruptedException if the calling thread is interrupted
     * @throws SettingsException if the settings are invalid
     */
    public void run() throws IOException, InterruptedException {
        System.setProperty(LineQueue.STREAM_PROPERTY, "out");
        GRIZZLY.setLevel(Level.OFF);
        EarlyLines.hold();
        settings = SettingsReader.read(settingsFile);
        gateway = new Gateway(settings, this::adapter, stopped::countDown);
        ProcessSignals.on("TERM", this::stop);
        ProcessSignals.on("INT", this::stop);
        ProcessSignals.on("HUP", this::reload);
        gateway.start();
        settingsTime = settingsLastModified();
        startLog();
        while (!stopped.await(SETTINGS_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
            reloadIfChanged();
        }
    }

    /** Waits for the log delay, then writes the lines held back since the start. */
    private void startLog() throws InterruptedException {
        stopped.await(LOG_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        LibraryLines.take();
        EarlyLines.release();
    }

    /** Stops the gateway gracefully; {@link #run} returns once it has stopped. */
    void stop() {
        gateway.stop();
    }

    private PlatformAdapter adapter(EventLoop loop, HttpConnector connector) {
        return new PlatformAdapter(
                new HeadTranslator(),
                new JsonTranslator(),
                new KvStore(loop, connector, settings.store()),
                new CloudDuties(loop, connector, settings.cloud()));
    }

    private void reloadIfChanged() {
        FileTime lastModified = settingsLastModified();
        if (!lastModified.equals(settingsTime)) {
            settingsTime = lastModified;
            reload();
        }
    }

    private FileTime settingsLastModified() {
        try {
            return Files.getLastModifiedTime(settingsFile);
        } catch (IOException e) {
            return settingsTime;
        }
    }

    private synchronized void reload() {
        try {
            gateway.reload(SettingsReader.read(settingsFile));
        } catch (TrailladderException e) {
            DecisionLog.write(new Lifecycle("process", "not reloaded", e.getMessage()));
        }
    }
}
