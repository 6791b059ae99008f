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

import io.trailladder.platform.http.HttpFailureException.Kind;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Passes the content that Grizzly reads from a connection to the exchange of that connection. */
final class ExchangeFilter extends BaseFilter {
    private static final Attribute<HttpExchange> EXCHANGE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.exchange");

    static void attach(Connection<?> connection, HttpExchange exchange) {
        EXCHANGE.set(connection, exchange);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        HttpExchange exchange = EXCHANGE.get(context.getConnection());
        HttpContent content = context.getMessage();
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        if (exchange == null) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        String type = head.getContentType();
        exchange.head(head.getStatus(), type == null ? "" : type);
        Buffer buffer = content.getContent();
        if (buffer != null && buffer.hasRemaining()) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            exchange.body(bytes);
        }
        boolean bounded = head.isChunked() || head.getContentLength() >= 0;
        if (content.isLast() && bounded) {
            exchange.end();
        }
        content.recycle();
        return context.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) throws IOException {
        fail(context.getConnection(), Kind.CUT);
        return context.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        fail(context.getConnection(), Kind.MALFORMED);
    }

    private static void fail(Connection<?> connection, Kind kind) {
        HttpExchange exchange = EXCHANGE.get(connection);
        if (exchange != null) {
            exchange.fail(kind);
        }
        connection.closeSilently();
    }
}
