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

import java.io.IOException;

/**
 * Starts one stand-in as a process: {@code key-value|cloud|engine|service HOST PORT}.
 *
 * @since 0.1
 */
public final class StandInMain {
    private StandInMain() {}

    /**
     * Starts the stand-in and leaves it running.
     *
     * @param args kind, host, port, and for an engine the time between tokens in milliseconds and
     *     its slots
     * @throws IOException if the port is taken
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        String host = args[1];
        int port = Integer.parseInt(args[2]);
        StandIn standIn =
                switch (args[0]) {
                    case "key-value" -> new KeyValueStandIn(host, port);
                    case "cloud" -> new CloudStandIn(host, port, 30_000);
                    case "engine" ->
                            new EngineStandIn(
                                    host,
                                    port,
                                    new EngineStandIn.Settings(
                                            Integer.parseInt(args[3]),
                                            8000,
                                            args.length > 4 ? Integer.parseInt(args[4]) : 32,
                                            2000));
                    case "service" -> new ServiceStandIn(host, port);
                    default ->
                            throw new IllegalArgumentException(
                                    "stand-in '"
                                            + args[0]
                                            + "', expected key-value, cloud, engine"
                                            + " or service");
                };
        standIn.start();
        standIn.awaitClosed();
    }
}
