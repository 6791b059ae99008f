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
package io.trailladder.platform;

import io.trailladder.core.TrailladderException;

/**
 * Thrown when the platform cannot be reached or its answer is not of the expected form.
 *
 * @since 0.1
 */
public class PlatformException extends TrailladderException {
    private static final long serialVersionUID = 1L;

    private final boolean effectPossible;

    /**
     * Creates the exception for a call without answer.
     *
     * @param call the call
     * @param effectPossible true if the platform may have executed the call nevertheless
     * @param cause the lower layer's exception
     */
    public PlatformException(String call, boolean effectPossible, Throwable cause) {
        super(
                "the platform did not answer "
                        + call
                        + (effectPossible ? ", which may have taken effect" : ""),
                cause);
        this.effectPossible = effectPossible;
    }

    /**
     * Creates the exception for an answer of unexpected form.
     *
     * @param call the call
     * @param answer the answer
     */
    public PlatformException(String call, String answer) {
        super("the platform answered " + call + " with '" + answer + "'");
        this.effectPossible = true;
    }

    /**
     * Returns whether the call may have taken effect.
     *
     * @return false only if it certainly has not
     */
    public boolean effectPossible() {
        return effectPossible;
    }
}
