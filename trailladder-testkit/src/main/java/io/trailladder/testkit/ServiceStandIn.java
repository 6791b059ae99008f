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
package io.trailladder.testkit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Stands in for a plain service that counts how often each call ran, by its {@code Idempotency-Key}
 * or, without one, its body.
 *
 * <p>Faults: {@code before} and {@code after} (connection cut before or after it ran), {@code
 * slow}, {@code short} and {@code long} (fewer or more bytes than declared), {@code garbage}.
 *
 * @since 0.1
 */
public final class ServiceStandIn extends StandIn {
    private final Map<String, Integer> runs = new TreeMap<>();

    /**
     * Creates the stand-in.
     *
     * @param host the address
     * @param port the port; 0 for any
     */
    public ServiceStandIn(String host, int port) {
        super(host, port);
    }

    /**
     * Returns how often each call ran.
     *
     * @return a copy
     */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    @Override
    protected void handle(Request request, Response response) throws IOException {
        if (request.getRequestURI().equals("/stats")) {
            ObjectNode stats = object();
            runs().forEach(stats::put);
            write(response, 200, stats);
            return;
        }
        byte[] body = request.getInputStream().readAllBytes();
        Fault struck = strike();
        if (struck.mode().equals("before")) {
            cut(request);
            return;
        }
        pause(struck.mode().equals("slow") ? struck.millis() : 0);
        String key = request.getHeader("Idempotency-Key");
        String text = new String(body, StandardCharsets.UTF_8);
        int run = ran(key == null ? text : key);
        if (struck.mode().equals("after")) {
            cut(request);
            return;
        }
        answer(request, response, struck, text, run);
    }

    private synchronized int ran(String call) {
        return runs.merge(call, 1, Integer::sum);
    }

    private static void answer(
            Request request, Response response, Fault struck, String text, int run)
            throws IOException {
        ObjectNode node = object().put("path", request.getRequestURI());
        node.put("organisation", request.getHeader("Trailladder-Organisation"));
        node.put("body", text).put("run", run);
        if (!struck.mode().equals("short") && !struck.mode().equals("garbage")) {
            write(response, 200, node);
            return;
        }
        byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
        if (struck.mode().equals("short")) {
            response.setContentLength(bytes.length + 10);
            response.getOutputStream().write(bytes);
        } else {
            // a body that is shorter than its chunk says is no HTTP
            response.setHeader("Transfer-Encoding", "garbage");
            response.getOutputStream().write(bytes);
        }
        response.getOutputStream().flush();
        cut(request);
    }
}
