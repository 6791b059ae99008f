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
import io.trailladder.entry.loop.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.tinylog.jul.JulTinylogBridge;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs one gateway process until it is told to stop.
 *
 * @since 0.2
 */
@Command(
        name = "gateway",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Run one gateway: takes callers' requests on the users' platform.",
        footer = {
            "",
            "SIGTERM stops it without cutting off requests. SIGHUP, or a change of the settings",
            "file, has the settings read again. Log lines go to standard output."
        })
public final class GatewayCommand implements Callable<Integer> {
    private static final long WATCH_FILE_MILLIS = 1_000;

    @Spec private CommandSpec spec;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            required = true,
            defaultValue = "${env:TRAILLADDER_SETTINGS}",
            description = "Settings file; default is what TRAILLADDER_SETTINGS names.")
    private Path settingsFile;

    private final CountDownLatch stopped = new CountDownLatch(1);
    private GatewaySettings settings;
    private FileTime settingsTime;

    @Override
    public Integer call() throws IOException, InterruptedException {
        System.setProperty("tinylog.writer.stream", "out");
        JulTinylogBridge.activate();
        try {
            settings = SettingsReader.read(settingsFile);
        } catch (SettingsException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        Gateway gateway = new Gateway(settings, this::adapter, stopped::countDown);
        ProcessSignals.on("TERM", gateway::stop);
        ProcessSignals.on("INT", gateway::stop);
        ProcessSignals.on("HUP", () -> reload(gateway));
        gateway.start();
        settingsTime = modified();
        while (!stopped.await(WATCH_FILE_MILLIS, TimeUnit.MILLISECONDS)) {
            reloadIfChanged(gateway);
        }
        return 0;
    }

    private PlatformAdapter adapter(EventLoop loop, HttpConnector connector) {
        return new PlatformAdapter(
                new HeadTranslator(),
                new JsonTranslator(),
                new KvStore(loop, connector, settings.store()),
                new CloudDuties(loop, connector, settings.cloud()));
    }

    private void reloadIfChanged(Gateway gateway) {
        FileTime now = modified();
        if (!now.equals(settingsTime)) {
            settingsTime = now;
            reload(gateway);
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(settingsFile);
        } catch (IOException e) {
            return settingsTime;
        }
    }

    private synchronized void reload(Gateway gateway) {
        try {
            gateway.reload(SettingsReader.read(settingsFile));
        } catch (TrailladderException e) {
            Logger.warn("settings kept as they were: {}", e.getMessage());
            DecisionLog.write(new Lifecycle("process", "not reloaded", e.getMessage()));
        }
    }
}
