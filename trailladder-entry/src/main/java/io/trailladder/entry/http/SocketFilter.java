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

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Reads a socket and records whether it was closed in an orderly way. Grizzly's own filter reports
 * a reset as an orderly end, so that a truncated answer without a length would look complete.
 *
 * <p>An instance must be used by one event loop only, because its read buffer is shared.
 *
 * @since 0.2
 */
public class SocketFilter extends TransportFilter {
    private static final int READ_BYTES = 64 * 1024;
    private static final Attribute<Boolean> ORDERLY =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.orderly-end");

    private final ByteBuffer space = ByteBuffer.allocateDirect(READ_BYTES);

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        NIOConnection connection = (NIOConnection) context.getConnection();
        space.clear();
        int count;
        try {
            count = ((SocketChannel) connection.getChannel()).read(space);
        } catch (IOException e) {
            ORDERLY.set(connection, Boolean.FALSE);
            connection.closeWithReason(e);
            return context.getStopAction();
        }
        if (count < 0) {
            ORDERLY.set(connection, Boolean.TRUE);
            connection.closeWithReason(new EOFException());
            return context.getStopAction();
        }
        if (count == 0) {
            return context.getStopAction();
        }
        space.flip();
        byte[] bytes = new byte[count];
        space.get(bytes);
        bytesRead(connection, count);
        context.setMessage(Buffers.wrap(connection.getMemoryManager(), bytes));
        return context.getInvokeAction();
    }

    /**
     * Called with the number of bytes received before they are parsed.
     *
     * @param connection the connection they were received on
     * @param count number of bytes
     */
    protected void bytesRead(Connection<?> connection, int count) {}

    /**
     * Returns whether the other side ended a connection, in an orderly way or not.
     *
     * @param connection a connection that has ended
     * @return false if this side closed it
     */
    public static boolean endedByOtherSide(Connection<?> connection) {
        return ORDERLY.get(connection) != null;
    }

    /** Sets whether the server's end of a relayed connection was orderly. */
    static void endedOrderly(Connection<?> connection, boolean orderly) {
        ORDERLY.set(connection, orderly);
    }

    /**
     * Returns whether the other side closed a connection in an orderly way.
     *
     * @param connection a connection that has ended
     * @return false if it broke, or was closed by this side
     */
    public static boolean endedOrderly(Connection<?> connection) {
        return Boolean.TRUE.equals(ORDERLY.get(connection));
    }
}
