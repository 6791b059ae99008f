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
package io.trailladder.entry.log;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.tinylog.jul.JulTinylogBridge;

/**
 * Receives the log records of libraries and loads the logging library at the first one. Most
 * processes never need it, and loading it costs about 0.1 s of processor time.
 *
 * @since 0.5
 */
public final class LibraryLines extends Handler {
    private LibraryLines() {}

    /** Installs the handler for log records of libraries. */
    public static void take() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new LibraryLines());
    }

    @Override
    public void publish(LogRecord line) {
        JulTinylogBridge.activate();
        Logger.getLogger("").log(line);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
