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
 * One gateway with its settings file, its signals and the adapter of the users' platform.
 *
 * <p>Its own {@link #main} starts it without a command line, which is parsed by a library whose
 * classes cannot be recorded for a quick start.
 *
 * @since 0.2
 */
public final class GatewayProcess {
    /** Names the settings file in the environment. */
    public static final String SETTINGS_VARIABLE = "TRAILLADDER_SETTINGS";

    private static final long SETTINGS_POLL_MILLIS = 1_000;

    /**
     * How long after the start the log begins, in milliseconds: by then the requests of a restart
     * are under way.
     */
    private static final long LOG_DELAY_MILLIS = 2_000;

    /** Grizzly tells of each broken connection, which callers and upstreams break all the time. */
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private static final int USAGE_ERROR = 2;

    private final Path settingsFile;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private GatewaySettings settings;
    private Gateway gateway;
    private FileTime settingsTime;

    /**
     * Creates a process that does not yet run.
     *
     * @param settingsFile its settings
     */
    public GatewayProcess(Path settingsFile) {
        this.settingsFile = settingsFile;
    }

    /**
     * Runs a gateway with the settings file that the environment names.
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
     * Runs until the process is told to stop.
     *
     * @throws IOException if it cannot listen
     * @throws InterruptedException if the calling thread is interrupted
     * @throws SettingsException if the settings are wrong
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

    /** Lets the first requests be served before lines are written. */
    private void startLog() throws InterruptedException {
        stopped.await(LOG_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        LibraryLines.take();
        EarlyLines.release();
    }

    /** Stops the gateway in order; {@link #run} returns once it has stopped. */
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
        FileTime now = settingsLastModified();
        if (!now.equals(settingsTime)) {
            settingsTime = now;
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
