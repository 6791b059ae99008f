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

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * The state of a connection to a peer that relays the bytes of an upstream.
 *
 * @since 0.7
 */
public final class RelayState {
    private static final Attribute<RelayState> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("trailladder.relay-state");

    private final Listener listener;
    private boolean opened;
    private boolean ended;
    private boolean endedOrderly;
    private Buffer incomplete;

    /** Receives what the peer reports. */
    public interface Listener {
        /** Called when the peer has connected to the upstream. */
        void opened();

        /**
         * Called when the peer does not connect to the upstream; nothing was sent to it.
         *
         * @param reason the peer's reason
         */
        void refused(String reason);

        /** Called when the connection to the peer has ended. */
        void closed();
    }

    private RelayState(Listener listener) {
        this.listener = listener;
    }

    /**
     * Marks a new connection as one to a peer.
     *
     * @param connection the connection
     * @param listener receives what the peer reports
     */
    public static void attach(Connection<?> connection, Listener listener) {
        STATE.set(connection, new RelayState(listener));
    }

    static RelayState of(Connection<?> connection) {
        return STATE.get(connection);
    }

    /** Returns whether a connection is relayed by a peer. */
    static boolean isRelayed(Connection<?> connection) {
        return of(connection) != null;
    }

    /**
     * Returns whether the connection to the peer was lost, so that nothing is known of the
     * upstream's.
     */
    static boolean isLost(Connection<?> connection) {
        RelayState state = of(connection);
        return state != null && !state.ended;
    }

    void openedByPeer() {
        if (!opened) {
            opened = true;
            listener.opened();
        }
    }

    void refusedByPeer(String reason) {
        if (!opened) {
            listener.refused(reason);
        }
    }

    boolean isOpened() {
        return opened;
    }

    void upstreamEnded(boolean orderly) {
        ended = true;
        endedOrderly = orderly;
    }

    boolean hasEndedOrderly() {
        return ended && endedOrderly;
    }

    void closed() {
        listener.closed();
    }

    /** Returns the bytes of an incomplete frame, and forgets them; null if there are none. */
    Buffer takeIncomplete() {
        Buffer bytes = incomplete;
        incomplete = null;
        return bytes;
    }

    void keepIncomplete(Buffer bytes) {
        incomplete = bytes;
    }
}
