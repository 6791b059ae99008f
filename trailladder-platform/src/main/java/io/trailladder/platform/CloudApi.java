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
package io.trailladder.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.platform.http.HttpReply;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the cloud's instance list, which lags behind the actual instances, and its notices.
 *
 * @since 0.1
 */
public final class CloudApi {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;

    private final HttpClient client;
    private final HostPort service;

    /**
     * The instance list as reported by the cloud.
     *
     * @param upstreams all instances, leaving ones included
     * @param leaving names of those that are leaving
     */
    public record InstanceList(List<LocalUpstream> upstreams, List<String> leaving) {
        /** Makes unmodifiable copies of both lists. */
        public InstanceList {
            upstreams = List.copyOf(upstreams);
            leaving = List.copyOf(leaving);
        }
    }

    /**
     * The notice that the cloud will take an instance back.
     *
     * @param id the instance's name
     * @param remainingMillis how long it continues to run, in milliseconds
     */
    public record Notice(String id, long remainingMillis) {}

    /**
     * The answer to a wait for notices.
     *
     * @param notices the notices, oldest first
     * @param next position to pass to the next wait
     */
    public record Notices(List<Notice> notices, long next) {
        /** Makes an unmodifiable copy of the notices. */
        public Notices {
            notices = List.copyOf(notices);
        }
    }

    /**
     * Creates the adapter.
     *
     * @param client sends the calls
     * @param service address of the cloud's API
     */
    public CloudApi(HttpClient client, HostPort service) {
        this.client = client;
        this.service = service;
    }

    /**
     * Reads the instance list.
     *
     * @return the list; fails with {@link PlatformException} if the answer is not JSON
     */
    public CompletableFuture<InstanceList> instances() {
        return client.call(HttpCall.get(service, "/instances", IDLE_TIMEOUT_MILLIS))
                .thenApply(reply -> instances(json(reply)));
    }

    /**
     * Waits for notices.
     *
     * @param after {@code next} of the previous answer
     * @param timeoutMillis maximum wait, in milliseconds
     * @return the notices after that position; fails with {@link PlatformException} if the answer
     *     is not JSON
     */
    public CompletableFuture<Notices> notices(long after, long timeoutMillis) {
        String path = "/notices?after=" + after + "&timeout=" + timeoutMillis;
        return client.call(HttpCall.get(service, path, timeoutMillis + IDLE_TIMEOUT_MILLIS))
                .thenApply(reply -> notices(json(reply)));
    }

    private static InstanceList instances(JsonNode root) {
        List<LocalUpstream> upstreams = new ArrayList<>();
        List<String> leaving = new ArrayList<>();
        for (JsonNode node : root.path("instances")) {
            String id = node.path("id").asText();
            upstreams.add(
                    new LocalUpstream(
                            id,
                            node.path("dataCentre").asText(),
                            node.path("address").asText(),
                            node.path("target").asText()));
            if (node.path("leaving").asBoolean()) {
                leaving.add(id);
            }
        }
        return new InstanceList(upstreams, leaving);
    }

    private static Notices notices(JsonNode root) {
        List<Notice> notices = new ArrayList<>();
        for (JsonNode node : root.path("notices")) {
            notices.add(
                    new Notice(node.path("id").asText(), node.path("remainingMillis").asLong()));
        }
        return new Notices(notices, root.path("next").asLong());
    }

    private static JsonNode json(HttpReply reply) {
        try {
            return JSON.readTree(reply.body());
        } catch (IOException e) {
            throw new PlatformException(
                    "a call of the cloud API", reply.status() + " without JSON");
        }
    }
}
