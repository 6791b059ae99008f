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
package io.trailladder.entry.serve;

import io.trailladder.wire.PeerMessage.Header;
import java.util.List;
import java.util.Optional;

/**
 * A caller's request as an entry received it, from the caller or from a peer.
 *
 * @param organisation the organisation the caller's key belongs to
 * @param method HTTP method
 * @param path path with query
 * @param headers the headers that are needed to serve it
 * @param body the body
 * @param relayed true if a peer forwarded it; it is then never forwarded again
 * @since 0.1
 */
public record IncomingRequest(
        String organisation,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        boolean relayed) {
    /** Header with the caller's key for the request. */
    public static final String KEY_HEADER = "Idempotency-Key";

    /** Header that marks a request that must run at most once. */
    public static final String RUN_HEADER = "Trailladder-Run";

    /** Header with the name of the model, for entries that must not read the body. */
    public static final String MODEL_HEADER = "Trailladder-Model";

    /** Header with the last event of a stream that the caller has received. */
    public static final String LAST_EVENT_HEADER = "Last-Event-ID";

    /** The headers that are needed to serve a request. */
    public static final List<String> KEPT_HEADERS =
            List.of(
                    KEY_HEADER,
                    RUN_HEADER,
                    MODEL_HEADER,
                    LAST_EVENT_HEADER,
                    "Content-Type",
                    "Accept");

    private static final String SERVICES = "/services/";

    /** Copies the headers. */
    public IncomingRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns a header.
     *
     * @param name its name
     * @return its value; empty if it is absent or has no value
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .filter(value -> value != null && !value.isEmpty())
                .findFirst();
    }

    /**
     * Returns the first event of a stream that the caller has not received.
     *
     * @return the position after {@code Last-Event-ID}; 0 if that is absent or not a number
     */
    public int firstWantedEvent() {
        try {
            return header(LAST_EVENT_HEADER)
                    .map(last -> Math.max(0, Integer.parseInt(last) + 1))
                    .orElse(0);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns the name of the service in the request's path.
     *
     * @return the service; empty if the path is not below {@code /services/}
     */
    public Optional<String> service() {
        return service(path);
    }

    /**
     * Returns the name of the service in a path.
     *
     * @param path path with query
     * @return the service; empty if the path is not below {@code /services/}
     */
    public static Optional<String> service(String path) {
        if (!path.startsWith(SERVICES)) {
            return Optional.empty();
        }
        String rest = path.substring(SERVICES.length());
        int end = rest.length();
        for (char delimiter : new char[] {'/', '?'}) {
            int index = rest.indexOf(delimiter);
            end = index >= 0 ? Math.min(end, index) : end;
        }
        return Optional.of(rest.substring(0, end)).filter(name -> !name.isEmpty());
    }
}
