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

import io.trailladder.entry.loop.FrameReader;
import io.trailladder.wire.NodeMessage.RelayData;
import io.trailladder.wire.NodeMessage.RelayEnd;
import io.trailladder.wire.NodeMessage.RelayOpened;
import io.trailladder.wire.NodeMessage.RelayRefused;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.WireException;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.tinylog.Logger;

/** Unpacks the frames in which a peer relays the bytes of an upstream. */
final class RelayFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        MemoryManager<?> memory = connection.getMemoryManager();
        RelayState state = RelayState.of(connection);
        Buffer received = context.getMessage();
        Buffer buffer = Buffers.appendBuffers(memory, state.takeIncomplete(), received);
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        try {
            Optional<PeerMessage> message = FrameReader.next(buffer);
            while (message.isPresent()) {
                handle(state, message.get(), data);
                message = FrameReader.next(buffer);
            }
        } catch (WireException e) {
            Logger.warn("relayed connection closed: {}", e.getMessage());
            connection.terminateSilently();
            return context.getStopAction();
        }
        if (buffer.hasRemaining()) {
            state.keepIncomplete(buffer);
        }
        if (data.size() == 0) {
            return context.getStopAction();
        }
        context.setMessage(Buffers.wrap(memory, data.toByteArray()));
        return context.getInvokeAction();
    }

    private static void handle(RelayState state, PeerMessage message, ByteArrayOutputStream data) {
        if (message instanceof RelayData bytes && state.isOpened()) {
            data.writeBytes(bytes.bytes());
        } else if (message instanceof RelayOpened) {
            state.openedByPeer();
        } else if (message instanceof RelayRefused refused) {
            state.refusedByPeer(refused.reason());
        } else if (message instanceof RelayEnd end) {
            state.upstreamEnded(end.orderly());
        }
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        RelayState state = RelayState.of(connection);
        SocketFilter.endedOrderly(connection, state != null && state.hasEndedOrderly());
        if (state != null) {
            state.closed();
        }
        return context.getInvokeAction();
    }
}
