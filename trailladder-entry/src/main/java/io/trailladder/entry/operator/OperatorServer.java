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
package io.trailladder.entry.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.trailladder.entry.EntryMetrics;
import io.trailladder.entry.serve.Placements;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * The HTTP server for operators and probes: {@code /livez}, {@code /readyz}, {@code /metrics},
 * {@code /status}, {@code /decisions}.
 *
 * @since 0.1
 */
public final class OperatorServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());
    private static final int THREADS = 2;

    private final HttpServer server = new HttpServer();
    private final EntryMetrics metrics;
    private final Supplier<StatusReport> status;
    private final Placements placements;
    private final BooleanSupplier ready;

    /**
     * Creates the server.
     *
     * @param address the address to listen on
     * @param metrics the metrics to expose
     * @param status creates the status report
     * @param placements provides the latest decisions
     * @param ready whether the entry should receive requests of callers
     */
    public OperatorServer(
            HostPort address,
            EntryMetrics metrics,
            Supplier<StatusReport> status,
            Placements placements,
            BooleanSupplier ready) {
        this.metrics = metrics;
        this.status = status;
        this.placements = placements;
        this.ready = ready;
        NetworkListener listener = new NetworkListener("operator", address.host(), address.port());
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport()
                .getWorkerThreadPoolConfig()
                .setCorePoolSize(THREADS)
                .setMaxPoolSize(THREADS);
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new Pages(), "/");
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the port is in use
     */
    public void start() throws IOException {
        server.start();
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    /** Serves the pages. */
    private final class Pages extends HttpHandler {
        @Override
        public void service(Request request, Response response) throws IOException {
            switch (request.getRequestURI()) {
                case "/livez" -> text(response, 200, "live\n");
                case "/readyz" ->
                        text(
                                response,
                                ready.getAsBoolean() ? 200 : 503,
                                ready.getAsBoolean() ? "ready\n" : "not ready\n");
                case "/metrics" -> {
                    response.setContentType(PrometheusTextFormatWriter.CONTENT_TYPE);
                    PrometheusTextFormatWriter.create()
                            .write(response.getOutputStream(), metrics.registry().scrape());
                }
                case "/status" -> json(response, status.get());
                case "/decisions" -> json(response, placements.decisions());
                default -> text(response, 404, "no such page\n");
            }
        }
    }

    private static void text(Response response, int status, String text) throws IOException {
        response.setStatus(status);
        response.setContentType("text/plain");
        response.getWriter().write(text);
    }

    private static void json(Response response, Object value) throws IOException {
        response.setContentType("application/json");
        response.getOutputStream().write(JSON.writeValueAsBytes(value));
    }
}
