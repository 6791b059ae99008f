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
package io.trailladder.entry.mesh;

import io.trailladder.entry.loop.FrameReader;
import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.WireException;
import java.util.Optional;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.tinylog.Logger;

/** Splits the bytes read from a link into frames and passes on their messages. */
final class NodeFrameFilter extends BaseFilter {
    private static final Attribute<NodeLink> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.node-link");

    private static final Attribute<RelayTarget> RELAY =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.relay-target");

    private final Listener listener;

    /** Receives links and messages. */
    interface Listener {
        NodeLink accepted(Connection<?> connection);

        void message(NodeLink link, NodeMessage message);

        void closed(NodeLink link);
    }

    NodeFrameFilter(Listener listener) {
        this.listener = listener;
    }

    /** Has all further bytes of a connection passed on unread. */
    static void relay(Connection<?> connection, RelayTarget target) {
        LINK.remove(connection);
        RELAY.set(connection, target);
    }

    static void attach(Connection<?> connection, NodeLink link) {
        LINK.set(connection, link);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        attach(context.getConnection(), listener.accepted(context.getConnection()));
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Buffer buffer = context.getMessage();
        Connection<?> connection = context.getConnection();
        RelayTarget relay = RELAY.get(connection);
        if (relay != null) {
            relay.received(buffer);
            return context.getStopAction();
        }
        NodeLink link = LINK.get(connection);
        try {
            Optional<PeerMessage> message = FrameReader.next(buffer);
            while (message.isPresent()) {
                received(link, message.get());
                message = FrameReader.next(buffer);
            }
        } catch (WireException e) {
            Logger.warn("peer link closed: {}", e.getMessage());
            link.close();
            return context.getStopAction();
        }
        return context.getStopAction(buffer.hasRemaining() ? buffer : null);
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        RelayTarget relay = RELAY.get(connection);
        NodeLink link = LINK.get(connection);
        if (relay != null) {
            relay.closed();
        } else if (link != null) {
            listener.closed(link);
        }
        return context.getInvokeAction();
    }

    private void received(NodeLink link, PeerMessage message) {
        if (link != null && message instanceof NodeMessage known) {
            listener.message(link, known);
        }
    }
}
