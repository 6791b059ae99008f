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

import io.trailladder.wire.NodeMessage;
import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.WireException;
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
        NodeLink link = LINK.get(context.getConnection());
        try {
            while (link != null && readFrame(link, buffer)) {
                // continues while complete frames are available
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
        NodeLink link = LINK.get(context.getConnection());
        if (link != null) {
            listener.closed(link);
        }
        return context.getInvokeAction();
    }

    private boolean readFrame(NodeLink link, Buffer buffer) {
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES) {
            return false;
        }
        int length = buffer.getInt(buffer.position());
        PeerCodec.checkLength(length);
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES + length) {
            return false;
        }
        buffer.position(buffer.position() + PeerCodec.LENGTH_BYTES);
        byte[] frame = new byte[length];
        buffer.get(frame);
        PeerMessage message = PeerCodec.decode(frame, 0, length);
        if (message instanceof NodeMessage known) {
            listener.message(link, known);
        }
        return true;
    }
}
