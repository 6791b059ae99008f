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
package io.trailladder.core;

/**
 * The base class of all exceptions that trailladder throws.
 *
 * @since 0.1
 */
public class TrailladderException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message.
     *
     * @param message what went wrong, with the value and the expected form
     */
    public TrailladderException(String message) {
        super(message);
    }

    /**
     * Creates an exception that wraps an exception of a lower layer.
     *
     * @param message what went wrong, in the terms of this layer
     * @param cause the exception of the lower layer
     */
    public TrailladderException(String message, Throwable cause) {
        super(message, cause);
    }
}
