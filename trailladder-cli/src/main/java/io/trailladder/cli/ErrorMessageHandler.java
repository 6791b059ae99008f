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

import io.trailladder.core.TrailladderException;
import java.util.concurrent.CompletionException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Prints the message of a {@link TrailladderException} instead of its stack trace. */
final class ErrorMessageHandler implements IExecutionExceptionHandler {
    @Override
    public int handleExecutionException(
            Exception failure, CommandLine commandLine, ParseResult parsed) throws Exception {
        Throwable cause = failure;
        if (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (!(cause instanceof TrailladderException)) {
            throw failure;
        }
        commandLine.getErr().println("error: " + cause.getMessage());
        return commandLine.getCommandSpec().exitCodeOnExecutionException();
    }
}
