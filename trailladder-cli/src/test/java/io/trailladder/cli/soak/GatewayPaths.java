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
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The paths from one gateway to the upstreams: a proxy for each upstream whose entry the gateway
 * has read, with the address of the proxy in place of the upstream's.
 */
final class GatewayPaths implements AutoCloseable {
    private static final Pattern ADDRESS = Pattern.compile("\"address\": *\"([^\"]+)\"");

    private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>();
    private volatile Mode mode = Mode.PASS;

    /** Returns an upstream's entry as this gateway reads it. */
    String view(String entry) {
        Matcher matcher = ADDRESS.matcher(entry);
        if (!matcher.find()) {
            return entry;
        }
        String address = matcher.group(1);
        String own = proxies.computeIfAbsent(address, this::proxy).address().toString();
        return entry.replace('"' + address + '"', '"' + own + '"');
    }

    private FaultProxy proxy(String address) {
        try {
            FaultProxy proxy = new FaultProxy(HostPort.parse(address));
            proxy.mode(mode);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sets what becomes of bytes on all paths, also those to upstreams that come later. */
    void mode(Mode next) throws IOException {
        mode = next;
        for (FaultProxy proxy : proxies.values()) {
            proxy.mode(next);
        }
    }

    /** Sets what becomes of bytes on the path to the upstream that lists an address. */
    void mode(String address, Mode next) throws IOException {
        FaultProxy proxy = proxies.get(address);
        if (proxy != null) {
            proxy.mode(next);
        }
    }

    @Override
    public void close() throws IOException {
        for (FaultProxy proxy : proxies.values()) {
            proxy.close();
        }
    }
}
