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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Stands in for the cloud: the instance list, which lags, and reclaim notices, which do not.
 *
 * @since 0.1
 */
public final class CloudStandIn extends StandIn {
    private final long listLagMillis;
    private final Map<String, ObjectNode> instances = new TreeMap<>();
    private final List<ObjectNode> notices = new ArrayList<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();

    /** The list as it was at some time. */
    private record Snapshot(long atMillis, ArrayNode instances) {}

    /**
     * Creates the stand-in.
     *
     * @param host the address
     * @param port the port; 0 for any
     * @param listLagMillis how far the instance list lags once an instance was listed
     */
    public CloudStandIn(String host, int port, long listLagMillis) {
        super(host, port);
        this.listLagMillis = listLagMillis;
    }

    /**
     * Adds a running instance.
     *
     * @param id its name
     * @param dataCentre where it runs
     * @param address host and port
     * @param target model or service
     */
    public synchronized void register(String id, String dataCentre, String address, String target) {
        instances.put(
                id,
                object().put("id", id)
                        .put("dataCentre", dataCentre)
                        .put("address", address)
                        .put("target", target)
                        .put("leaving", false));
        // starts are listed at once, so that tests need not wait for them
        history.clear();
        record();
    }

    /**
     * Gives an instance its notice, and ends it when the notice is over.
     *
     * @param id its name
     * @param noticeMillis how long it may still run
     */
    public synchronized void reclaim(String id, int noticeMillis) {
        ObjectNode instance = instances.get(id);
        instance.put("leaving", true);
        record();
        notices.add(object().put("id", id).put("endsAt", now() + noticeMillis));
        notifyAll();
        String address = instance.path("address").asText();
        timer.schedule(() -> end(id, address), noticeMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void handle(Request request, Response response) throws IOException {
        if (strike().mode().equals("down")) {
            cut(request);
            return;
        }
        ObjectNode answer = object();
        switch (request.getRequestURI()) {
            case "/instances" -> answer.set("instances", listed());
            case "/notices" -> notices(request, answer);
            case "/register" -> {
                JsonNode body = json(request);
                register(
                        body.path("id").asText(),
                        body.path("dataCentre").asText(),
                        body.path("address").asText(),
                        body.path("target").asText());
            }
            default -> reclaim(request.getParameter("id"), number(request, "notice", 3000));
        }
        write(response, 200, answer);
    }

    private synchronized ArrayNode listed() {
        long wanted = now() - listLagMillis;
        while (history.size() > 1 && history.peekFirst().atMillis() < wanted) {
            Snapshot oldest = history.removeFirst();
            if (history.peekFirst().atMillis() > wanted) {
                history.addFirst(oldest);
                break;
            }
        }
        return history.isEmpty() ? JSON.createArrayNode() : history.peekFirst().instances();
    }

    private synchronized void notices(Request request, ObjectNode answer) {
        int after = number(request, "after", 0);
        long until = now() + number(request, "timeout", 10_000);
        while (notices.size() <= after && now() < until) {
            try {
                wait(Math.max(1, until - now()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        ArrayNode news = answer.putArray("notices");
        for (ObjectNode notice : notices.subList(Math.min(after, notices.size()), notices.size())) {
            long left = Math.max(0, notice.path("endsAt").asLong() - now());
            news.addObject().put("id", notice.path("id").asText()).put("remainingMillis", left);
        }
        answer.put("next", notices.size());
    }

    private synchronized void record() {
        ArrayNode copy = JSON.createArrayNode();
        instances.values().forEach(instance -> copy.add(instance.deepCopy()));
        history.addLast(new Snapshot(now(), copy));
    }

    private void end(String id, String address) {
        synchronized (this) {
            instances.remove(id);
            record();
        }
        try {
            URI uri = URI.create("http://" + address + "/die");
            HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
            call.setRequestMethod("POST");
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            call.getResponseCode();
        } catch (IOException e) {
            // already gone
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
