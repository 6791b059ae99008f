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

import io.trailladder.entry.gateway.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs one gateway process until it is stopped.
 *
 * @since 0.2
 */
@Command(
        name = "gateway",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Run one gateway: accepts callers' requests on the users' platform.",
        footer = {
            "",
            "SIGTERM stops it without cutting off requests. SIGHUP, or a change of the settings",
            "file, reloads the settings. Log lines go to standard output."
        })
public final class GatewayCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            required = true,
            defaultValue = "${env:TRAILLADDER_SETTINGS}",
            description = "Settings file; default is the file that TRAILLADDER_SETTINGS names.")
    private Path settingsFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
        try {
            new GatewayProcess(settingsFile).run();
        } catch (SettingsException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        return 0;
    }
}
