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

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code trailladder} command.
 *
 * <pre>{@code
 * trailladder table apply table.csv
 * trailladder status
 * }</pre>
 *
 * @since 0.1
 */
@Command(
        name = "trailladder",
        version = "trailladder 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Serves language models where the table allows it.",
        subcommands = {
            EntryCommand.class,
            GatewayCommand.class,
            TableCommand.class,
            StatusCommand.class,
            ExplainCommand.class,
            LossesCommand.class,
            ReplayCommand.class,
            RolloutCommand.class,
            RefusedCommand.class,
            GenerateCompletion.class
        })
public final class TrailladderCommand implements Runnable {
    @Spec private CommandSpec spec;

    /**
     * Runs the command and exits the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /**
     * Creates the command line with all subcommands and the error message handler.
     *
     * @return the command line, whose options default to environment variables
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new TrailladderCommand());
        commandLine.setExecutionExceptionHandler(new ErrorMessageHandler());
        return commandLine;
    }

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "missing command, expected entry, gateway, table, status, explain or replay");
    }
}
