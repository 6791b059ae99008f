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
package io.trailladder.entry.gateway;

import io.trailladder.core.TrailladderException;
import java.util.List;

/**
 * Thrown if settings are invalid. The message lists all faults.
 *
 * @since 0.2
 */
public class SettingsException extends TrailladderException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param file name of the settings file
     * @param faults the option, its value and the expected form, for each fault
     */
    public SettingsException(String file, List<String> faults) {
        super("settings file '" + file + "': " + String.join("; ", faults));
    }
}
