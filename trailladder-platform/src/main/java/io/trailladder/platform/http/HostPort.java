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
package io.trailladder.platform.http;

import io.trailladder.core.TrailladderException;
import io.trailladder.platform.ShortText;

/**
 * A host and a port.
 *
 * @param host IP address
 * @param port from 0 to 65535; 0 lets the system choose
 * @since 0.1
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses an address.
     *
     * @param text for example {@code 127.0.0.1:8080}
     * @return the address
     * @throws BadAddressException if the text is not an address
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new HostPort(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below like any other malformed address
        }
        throw new BadAddressException(text);
    }

    // explicit, because the generated methods of a record are linked at their first call, which
    // takes about 5 ms of processor time per record at the start of a process
    @Override
    public boolean equals(Object other) {
        return other instanceof HostPort that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    /** Thrown for text that is not an address. */
    public static class BadAddressException extends TrailladderException {
        private static final long serialVersionUID = 1L;

        /** Maximum length of the text in the message, in characters. */
        private static final int MAX_SHOWN_CHARS = 60;

        /**
         * Creates the exception.
         *
         * @param text the text
         */
        public BadAddressException(String text) {
            super(
                    "address '"
                            + ShortText.of(text, MAX_SHOWN_CHARS)
                            + "', expected HOST:PORT, for example 127.0.0.1:8080");
        }
    }
}
