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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Stands in for a model engine: continuous batching, a prefix cache in limited memory, resume,
 * cancel, KV export and import.
 *
 * <p>Faults, by request: {@code refuse}, {@code cut} and {@code freeze} after some tokens, {@code
 * double} (every frame twice), {@code cross} (frames of another request between), {@code garbage},
 * {@code short} (an end that names more tokens than were sent), {@code slow-export}.
 *
 * @since 0.1
 */
public final class EngineStandIn extends StandIn {
    private static final int BLOCK_CHARS = 256;
    private static final int CHARS_PER_TOKEN = 4;

    private final Settings settings;
    private final List<Sequence> sequences = new ArrayList<>();
    private final Map<String, Integer> exports = new HashMap<>();
    private final Map<String, Boolean> cache;
    private long computedTokens;
    private long runs;
    private long cancelled;

    /**
     * How an engine behaves.
     *
     * @param tokenMillis time between two tokens
     * @param prefillTokensPerSecond prompt tokens it computes a second
     * @param slots sequences it generates at once
     * @param cacheBlocks blocks of 64 tokens that its prefix cache holds
     */
    public record Settings(
            int tokenMillis, int prefillTokensPerSecond, int slots, int cacheBlocks) {}

    /** One request being generated. */
    private static final class Sequence {
        final Request request;
        final Response response;
        final String id;
        final int attempt;
        final String organisation;
        final String prompt;
        final int end;
        final Fault fault;
        int position;
        int sent;
        long uncomputed;

        Sequence(Request request, Response response, JsonNode body, Fault fault) {
            this.request = request;
            this.response = response;
            this.fault = fault;
            id = body.path("request").asText();
            attempt = body.path("attempt").asInt();
            organisation = body.path("organisation").asText();
            prompt = body.path("prompt").asText();
            end = body.path("max_tokens").asInt();
            position = body.path("resume").size();
        }
    }

    /**
     * Creates the stand-in.
     *
     * @param host the address
     * @param port the port; 0 for any
     * @param settings how it behaves
     */
    public EngineStandIn(String host, int port, Settings settings) {
        super(host, port);
        this.settings = settings;
        cache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > settings.cacheBlocks();
                    }
                };
        int millis = settings.tokenMillis();
        timer.scheduleAtFixedRate(this::step, millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns how many prompt and resumed tokens were computed rather than found in the cache.
     *
     * @return a count
     */
    public synchronized long computedTokens() {
        return computedTokens;
    }

    /**
     * Returns how many generations were begun.
     *
     * @return a count
     */
    public synchronized long runs() {
        return runs;
    }

    /**
     * Returns how many generations were cancelled.
     *
     * @return a count
     */
    public synchronized long cancelled() {
        return cancelled;
    }

    @Override
    protected void handle(Request request, Response response) throws IOException {
        String path = request.getRequestURI();
        if (path.equals("/v1/load")) {
            write(response, 200, load());
            return;
        }
        if (path.startsWith("/v1/exported/")) {
            write(response, 200, object().put("tokens", exported(path.substring(13))));
            return;
        }
        JsonNode body = json(request);
        if (path.equals("/v1/cancel")) {
            cancel(body);
            return;
        }
        Fault struck = strike();
        if (path.equals("/v1/export")) {
            pause(struck.mode().equals("slow-export") ? struck.millis() : 5);
            write(response, 200, export(body));
            return;
        }
        if (struck.mode().equals("refuse")) {
            write(response, 503, object().put("error", "refused"));
            return;
        }
        response.setContentType("text/event-stream");
        response.suspend();
        begin(new Sequence(request, response, body, struck), body.path("kv").asText());
    }

    private void begin(Sequence sequence, String kv) {
        int imported = kv.isEmpty() ? 0 : fetch(kv);
        synchronized (this) {
            runs++;
            int tokens = sequence.prompt.length() / CHARS_PER_TOKEN + sequence.position;
            int known = Math.max(imported, cachedTokens(sequence));
            sequence.uncomputed = Math.max(1, tokens - known);
            computedTokens += sequence.uncomputed;
            sequences.add(sequence);
        }
    }

    private int cachedTokens(Sequence sequence) {
        int known = 0;
        String prompt = sequence.organisation + '\n' + sequence.prompt;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            boolean hit = cache.put(prompt.substring(0, end), Boolean.TRUE) != null;
            known =
                    hit && known == (end - BLOCK_CHARS) / CHARS_PER_TOKEN
                            ? end / CHARS_PER_TOKEN
                            : known;
        }
        return known;
    }

    private synchronized void step() {
        long budget =
                Math.max(
                        1,
                        (long) settings.prefillTokensPerSecond() * settings.tokenMillis() / 1000);
        List<Sequence> running =
                List.copyOf(sequences.subList(0, Math.min(settings.slots(), sequences.size())));
        for (Sequence sequence : running) {
            long computed = Math.min(budget, sequence.uncomputed);
            sequence.uncomputed -= computed;
            budget -= computed;
            if (sequence.uncomputed == 0 && !advance(sequence)) {
                sequences.remove(sequence);
            }
        }
    }

    /** Sends the next token; returns false when the sequence is over. */
    private boolean advance(Sequence s) {
        try {
            String mode = s.fault.mode();
            boolean struck = s.sent >= s.fault.after();
            if (!s.request.getRequest().getConnection().isOpen()
                    || (mode.equals("cut") && struck)) {
                cancelled++;
                cut(s.request);
                return false;
            }
            if (mode.equals("freeze") && struck) {
                return true;
            }
            if (mode.equals("garbage") && struck) {
                send(s, "data: {\"p\":\n\n");
            }
            boolean early = mode.equals("short") && struck;
            if (s.position >= s.end || early) {
                ObjectNode end = frame(s).put("end", early ? s.position + 1 : s.position);
                send(s, "data: " + end.put("computed", computedTokens) + "\n\n");
                s.response.resume();
                return false;
            }
            ObjectNode frame = frame(s).put("p", s.position);
            frame.put("t", Tokens.token(s.organisation, s.prompt, s.position));
            if (mode.equals("cross") && struck) {
                send(
                        s,
                        "data: "
                                + frame.deepCopy().put("r", "other").put("t", "crossed ")
                                + "\n\n");
            }
            send(s, "data: " + frame + "\n\n");
            if (mode.equals("double")) {
                send(s, "data: " + frame + "\n\n");
            }
            s.position++;
            s.sent++;
            return true;
        } catch (IOException | RuntimeException e) {
            cancelled++;
            return false;
        }
    }

    private static ObjectNode frame(Sequence s) {
        return object().put("r", s.id).put("a", s.attempt);
    }

    private static void send(Sequence s, String text) throws IOException {
        s.response.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        s.response.getOutputStream().flush();
    }

    private synchronized void cancel(JsonNode body) {
        for (Sequence s : List.copyOf(sequences)) {
            boolean named = s.id.equals(body.path("request").asText());
            if (named && s.attempt == body.path("attempt").asInt()) {
                sequences.remove(s);
                cancelled++;
                cut(s.request);
            }
        }
    }

    private synchronized ObjectNode export(JsonNode body) {
        String handle = body.path("request").asText() + "." + body.path("attempt").asInt();
        for (Sequence s : sequences) {
            if (s.id.equals(body.path("request").asText())) {
                exports.put(handle, s.prompt.length() / CHARS_PER_TOKEN + s.position);
            }
        }
        return object().put("handle", address() + "/v1/exported/" + handle);
    }

    private synchronized int exported(String handle) {
        return exports.getOrDefault(handle, 0);
    }

    private static int fetch(String kv) {
        try (var in = java.net.URI.create("http://" + kv).toURL().openStream()) {
            return JSON.readTree(in).path("tokens").asInt();
        } catch (IOException e) {
            return 0;
        }
    }

    private synchronized ObjectNode load() {
        long queued = sequences.stream().mapToLong(s -> s.uncomputed).sum();
        int running = Math.min(sequences.size(), settings.slots());
        return object().put("running", running)
                .put("slots", settings.slots())
                .put("waiting", sequences.size() - running)
                .put("queuedPromptTokens", queued)
                .put("prefillTokensPerSecond", settings.prefillTokensPerSecond())
                .put("tokenMillis", settings.tokenMillis())
                .put("runs", runs)
                .put("computedTokens", computedTokens)
                .put("cancelled", cancelled);
    }
}
