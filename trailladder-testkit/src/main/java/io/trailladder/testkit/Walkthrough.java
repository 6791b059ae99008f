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
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/**
 * Sends the quickstart's requests and checks that every answer is whole: {@code ENTRY1 ENTRY2 CLOUD
 * MODEL SERVICE KEY ORGANISATION}.
 *
 * @since 0.1
 */
public final class Walkthrough {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKENS = 120;
    private static final String PROMPT = "Explique la oferta del préstamo. ".repeat(40);

    private final String[] args;
    private boolean whole = true;

    private Walkthrough(String[] args) {
        this.args = args;
    }

    /**
     * Runs the walkthrough; exits 0 only if every answer was whole.
     *
     * @param args see the class
     * @throws IOException if an entry cannot be reached
     */
    public static void main(String[] args) throws IOException {
        Walkthrough walkthrough = new Walkthrough(args);
        walkthrough.chat(args[0], false);
        walkthrough.call(args[1], "plain service call", null);
        walkthrough.call(args[0], "at-most-once call", "quote-1");
        walkthrough.call(args[1], "the same call again", "quote-1");
        walkthrough.chat(args[1], true);
        System.exit(walkthrough.whole ? 0 : 1);
    }

    private void chat(String entry, boolean reclaim) throws IOException {
        HttpURLConnection call = open(entry, "/v1/chat/completions");
        String body =
                JSON.createObjectNode()
                        .put("model", args[3])
                        .put("stream", true)
                        .put("max_tokens", TOKENS)
                        .set("messages", JSON.createArrayNode().add(message()))
                        .toString();
        call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        StringBuilder answer = new StringBuilder();
        int tokens = 0;
        boolean done = false;
        try (BufferedReader in = new BufferedReader(reader(call))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                done |= line.equals("data: [DONE]");
                if (line.startsWith("data: {")) {
                    JsonNode delta =
                            JSON.readTree(line.substring(6)).at("/choices/0/delta/content");
                    answer.append(delta.asText());
                    tokens++;
                }
                if (reclaim && tokens == TOKENS / 4) {
                    reclaimBusiest();
                    reclaim = false;
                }
            }
        }
        String expected = Tokens.answer(args[6], "user: " + PROMPT + "\n", TOKENS);
        boolean right = done && answer.toString().equals(expected);
        report("streamed chat of " + TOKENS + " tokens", call, right);
    }

    private void call(String entry, String name, String key) throws IOException {
        HttpURLConnection call = open(entry, "/services/" + args[4] + "/cuota?monto=1000");
        if (key != null) {
            call.setRequestProperty("Idempotency-Key", key);
            call.setRequestProperty("Trailladder-Run", "at-most-once");
        }
        call.getOutputStream().write("{\"plazo\":240}".getBytes(StandardCharsets.UTF_8));
        JsonNode answer = JSON.readTree(reader(call));
        report(
                name + ", run " + answer.path("run"),
                call,
                answer.path("run").asInt() == 1 || key == null);
    }

    /** Reclaims the engine that works on the only stream. */
    private void reclaimBusiest() throws IOException {
        URI list = URI.create("http://" + args[2] + "/instances");
        JsonNode instances = JSON.readTree(list.toURL()).path("instances");
        for (JsonNode instance : instances) {
            if (instance.path("target").asText().equals(args[3])) {
                URI load = URI.create("http://" + instance.path("address").asText() + "/v1/load");
                if (JSON.readTree(load.toURL()).path("running").asInt() > 0) {
                    String id = instance.path("id").asText();
                    System.out.println("reclaiming " + id + " with 2 s notice, in mid-stream");
                    HttpURLConnection call = post(args[2], "/reclaim?notice=2000&id=" + id);
                    call.getResponseCode();
                }
            }
        }
    }

    private void report(String name, HttpURLConnection call, boolean right) throws IOException {
        boolean good = right && call.getResponseCode() == HttpURLConnection.HTTP_OK;
        whole &= good;
        System.out.printf(
                "%s: %s, through %s, served in %s%n",
                name,
                good ? "whole" : "NOT WHOLE (" + call.getResponseCode() + ")",
                call.getURL().getAuthority(),
                call.getHeaderField("Trailladder-Served"));
    }

    private HttpURLConnection open(String entry, String path) throws IOException {
        HttpURLConnection call = post(entry, path);
        call.setRequestProperty("Authorization", "Bearer " + args[5]);
        call.setRequestProperty("Content-Type", "application/json");
        call.setDoOutput(true);
        return call;
    }

    private static HttpURLConnection post(String address, String path) throws IOException {
        URI uri = URI.create("http://" + address + path);
        HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
        call.setRequestMethod("POST");
        call.setReadTimeout(20_000);
        return call;
    }

    private static InputStreamReader reader(HttpURLConnection call) throws IOException {
        boolean good = call.getResponseCode() < HttpURLConnection.HTTP_BAD_REQUEST;
        return new InputStreamReader(
                good ? call.getInputStream() : call.getErrorStream(), StandardCharsets.UTF_8);
    }

    private static JsonNode message() {
        return JSON.createObjectNode().put("role", "user").put("content", PROMPT);
    }
}
