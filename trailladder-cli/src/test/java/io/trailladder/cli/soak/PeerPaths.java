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
package io.trailladder.cli.soak;

import io.trailladder.cli.soak.FaultProxy.Mode;
import io.trailladder.cli.soak.FaultProxy.Rewriting;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * The paths from one gateway to its peers: a proxy for each, whose address the gateway sees in
 * place of the peer's, in the peer's entry and in what the peer sends.
 */
final class PeerPaths implements AutoCloseable {
    /**
     * Sorts after the addresses of gateways, and is as long: of two gateways the one whose address
     * sorts lower opens the link, so each opens one to the other's proxy.
     */
    private static final String HOST = "127.0.0.9";

    private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();

    /**
     * Starts a proxy.
     *
     * @param peer the address of the peer
     * @param peerView changes what the peer receives
     */
    void add(HostPort peer, UnaryOperator<String> peerView) {
        proxies.computeIfAbsent(
                peer.toString(),
                address -> {
                    try {
                        InetAddress host = InetAddress.getByName(HOST);
                        return new FaultProxy(peer, host, new Rewriting(peerView, this::view));
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    /** Returns a text with the addresses of the proxies in place of those of the peers. */
    String view(String text) {
        String viewed = text;
        for (Map.Entry<String, FaultProxy> proxy : proxies.entrySet()) {
            viewed = viewed.replace(proxy.getKey(), proxy.getValue().address().toString());
        }
        return viewed;
    }

    /** Sets what becomes of bytes on the path to a peer. */
    void mode(HostPort peer, Mode next) throws IOException {
        proxies.get(peer.toString()).mode(next);
    }

    @Override
    public void close() throws IOException {
        for (FaultProxy proxy : proxies.values()) {
            proxy.close();
        }
    }
}
