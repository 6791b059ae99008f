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

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Stands in for the platform's key-value service: compare-and-swap, leases, watches, call counters.
 *
 * <p>Faults: {@code down} (connection cut before the effect), {@code lost} (after it), {@code
 * slow}.
 *
 * @since 0.1
 */
public final class KeyValueStandIn extends StandIn {
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, Long> leases = new TreeMap<>();
    private long revision;
    private long reads;
    private long writes;

    /** A value; null if deleted. */
    private record Entry(String value, long revision, String lease) {}

    /**
     * Creates the stand-in.
     *
     * @param host the address
     * @param port the port; 0 for any
     */
    public KeyValueStandIn(String host, int port) {
        super(host, port);
        timer.scheduleAtFixedRate(this::expire, 200, 200, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns how many reads were answered; a waiting watch counts as one.
     *
     * @return a count
     */
    public synchronized long reads() {
        return reads;
    }

    /**
     * Returns how many writes were answered.
     *
     * @return a count
     */
    public synchronized long writes() {
        return writes;
    }

    @Override
    protected void handle(Request request, Response response) throws IOException {
        Fault struck = request.getRequestURI().equals("/stats") ? NO_FAULT : strike();
        if (struck.mode().equals("down")) {
            cut(request);
            return;
        }
        pause(struck.mode().equals("slow") ? struck.millis() : 0);
        String path = request.getRequestURI();
        String key = path.substring(path.indexOf('/', 1) + 1);
        ObjectNode answer = object();
        int status = 200;
        if (path.startsWith("/watch")) {
            watch(request, answer);
        } else if (path.startsWith("/list/")) {
            list(key, 0, answer);
        } else if (path.startsWith("/lease/")) {
            renew(key, number(request, "ttl", 10_000));
        } else if (path.startsWith("/stats")) {
            answer.put("reads", reads()).put("writes", writes());
        } else if (request.getMethod().getMethodString().equals("GET")) {
            status = get(key, answer);
        } else if (request.getMethod().getMethodString().equals("DELETE")) {
            delete(key);
        } else {
            byte[] body = request.getInputStream().readAllBytes();
            status =
                    body.length > MAX_VALUE_BYTES
                            ? 413
                            : put(request, key, new String(body, StandardCharsets.UTF_8), answer);
        }
        if (struck.mode().equals("lost")) {
            cut(request);
            return;
        }
        write(response, status, answer);
    }

    private synchronized int get(String key, ObjectNode answer) {
        reads++;
        Entry entry = entries.get(key);
        if (entry == null || entry.value() == null) {
            return 404;
        }
        answer.put("value", entry.value()).put("version", entry.revision());
        return 200;
    }

    private synchronized int put(Request request, String key, String value, ObjectNode answer) {
        writes++;
        long expected = Long.parseLong(request.getParameter("version"));
        Entry entry = entries.get(key);
        long present = entry == null || entry.value() == null ? 0 : entry.revision();
        if (expected != present && expected >= 0) {
            answer.put("version", present);
            return 409;
        }
        entries.put(key, new Entry(value, ++revision, request.getParameter("lease")));
        answer.put("version", revision);
        notifyAll();
        return 200;
    }

    private synchronized void delete(String key) {
        writes++;
        entries.put(key, new Entry(null, ++revision, null));
        notifyAll();
    }

    private synchronized void renew(String lease, int ttlMillis) {
        writes++;
        leases.put(lease, System.currentTimeMillis() + ttlMillis);
    }

    private synchronized void expire() {
        long now = System.currentTimeMillis();
        leases.values().removeIf(until -> until < now);
        entries.replaceAll(
                (key, entry) ->
                        entry.lease() == null || leases.containsKey(entry.lease())
                                ? entry
                                : new Entry(null, ++revision, null));
        notifyAll();
    }

    private synchronized void watch(Request request, ObjectNode answer) {
        reads++;
        String prefix = request.getParameter("prefix");
        long after = Long.parseLong(request.getParameter("after"));
        long until = System.currentTimeMillis() + number(request, "timeout", 10_000);
        while (!list(prefix, after, answer)) {
            long left = until - System.currentTimeMillis();
            if (left <= 0) {
                return;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private synchronized boolean list(String prefix, long after, ObjectNode answer) {
        ArrayNode found = answer.putArray("entries");
        entries.tailMap(prefix)
                .forEach(
                        (key, entry) -> {
                            boolean wanted = after > 0 || entry.value() != null;
                            if (key.startsWith(prefix) && entry.revision() > after && wanted) {
                                found.addObject()
                                        .put("key", key)
                                        .put("value", entry.value())
                                        .put("version", entry.revision());
                            }
                        });
        answer.put("revision", revision);
        return !found.isEmpty();
    }
}
