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

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;

/** Reads decisions from the logs of gateways. */
final class LogFiles {
    private LogFiles() {}

    /**
     * Reads logs line by line and skips lines that are not decisions.
     *
     * @param files the log files; standard input is read if there are none
     * @param commandLine the command line that a missing file is reported for
     * @param decisions receives each decision
     * @throws IOException if a log cannot be read
     * @throws ParameterException if a file does not exist
     */
    static void read(List<Path> files, CommandLine commandLine, Consumer<DecisionLine> decisions)
            throws IOException {
        if (files.isEmpty()) {
            read(new InputStreamReader(System.in, StandardCharsets.UTF_8), decisions);
        }
        for (Path file : files) {
            try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                read(reader, decisions);
            } catch (NoSuchFileException e) {
                throw new ParameterException(
                        commandLine, "FILE '" + file + "' does not exist, expected a log file", e);
            }
        }
    }

    private static void read(Reader source, Consumer<DecisionLine> decisions) throws IOException {
        BufferedReader reader = new BufferedReader(source);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            DecisionLine.parse(line).ifPresent(decisions);
        }
    }
}
