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
package io.trailladder.entry.http;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.tinylog.Logger;

/**
 * Parses answers. Bytes that are no answer close their connection with one log line; the library
 * would log a stack trace for each connection.
 */
final class AnswerCodec extends HttpClientFilter {
    AnswerCodec(int maxHeadBytes) {
        super(maxHeadBytes);
        setPreserveHeaderCase(true);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        try {
            return super.handleRead(context);
        } catch (RuntimeException e) {
            Object server = context.getConnection().getPeerAddress();
            Throwable cause = e.getCause() == null ? e : e.getCause();
            Logger.warn(
                    "connection to {} closed, received bytes that are no answer: {}",
                    server,
                    cause.toString());
            throw new IOException("bytes that are no answer from " + server, e);
        }
    }
}
