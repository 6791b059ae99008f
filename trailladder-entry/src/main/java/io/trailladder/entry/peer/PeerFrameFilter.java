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
package io.trailladder.entry.peer;

import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.WireException;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Splits the bytes read from a connection into frames and passes on the decoded messages. */
final class PeerFrameFilter extends BaseFilter {
    private static final Attribute<PeerLink> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.peer-link");

    private final Listener listener;

    /** Receives connection events and messages. */
    interface Listener {
        PeerLink accepted(Connection<?> connection);

        void message(PeerLink link, PeerMessage message);

        void closed(PeerLink link);

        void refused(PeerLink link, WireException reason);
    }

    PeerFrameFilter(Listener listener) {
        this.listener = listener;
    }

    static void attach(Connection<?> connection, PeerLink link) {
        LINK.set(connection, link);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) throws IOException {
        PeerLink link = listener.accepted(context.getConnection());
        attach(context.getConnection(), link);
        link.open();
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer buffer = context.getMessage();
        PeerLink link = LINK.get(context.getConnection());
        if (link == null) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        try {
            while (readFrame(link, buffer)) {
                // reads until no complete frame is left
            }
        } catch (WireException e) {
            listener.refused(link, e);
            link.close();
            return context.getStopAction();
        }
        buffer.shrink();
        return context.getStopAction(buffer.hasRemaining() ? buffer : null);
    }

    @Override
    public NextAction handleClose(FilterChainContext context) throws IOException {
        PeerLink link = LINK.get(context.getConnection());
        if (link != null) {
            listener.closed(link);
        }
        return context.getInvokeAction();
    }

    private boolean readFrame(PeerLink link, Buffer buffer) {
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES) {
            return false;
        }
        int length = buffer.getInt(buffer.position());
        PeerCodec.checkLength(length);
        if (!link.isUp() && length > PeerLink.MAX_HANDSHAKE_BYTES) {
            throw new WireException("handshake frame of " + length + " bytes");
        }
        if (buffer.remaining() < PeerCodec.LENGTH_BYTES + length) {
            return false;
        }
        buffer.position(buffer.position() + PeerCodec.LENGTH_BYTES);
        byte[] frame = new byte[length];
        buffer.get(frame);
        listener.message(link, PeerCodec.decode(frame, 0, length));
        return true;
    }
}
