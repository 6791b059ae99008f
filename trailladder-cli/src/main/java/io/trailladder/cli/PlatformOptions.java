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
package io.trailladder.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.entry.operator.StatusReport;
import io.trailladder.entry.sync.EntrySync;
import io.trailladder.platform.HttpKeyValueStore;
import io.trailladder.platform.KeyValueStore;
import io.trailladder.platform.TableStore;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.wire.EntryInfo;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import picocli.CommandLine.Option;

/**
 * The options shared by the commands that query the platform, and the connections made from them.
 *
 * @since 0.1
 */
final class PlatformOptions implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;

    @Option(
            names = "--key-value",
            required = true,
            defaultValue = "${env:TRAILLADDER_KEY_VALUE}",
            description = "HOST:PORT of the platform's key-value service (TRAILLADDER_KEY_VALUE)")
    private String keyValue;

    @Option(names = "--json", description = "print JSON")
    private boolean json;

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private HttpClient client;

    /** Whether the output is JSON. */
    boolean json() {
        return json;
    }

    /** Returns a client of the key-value service. */
    KeyValueStore store() {
        return new HttpKeyValueStore(client(), HostPort.parse(keyValue));
    }

    /** Returns the store of the operators' table. */
    TableStore tables() {
        return new TableStore(store());
    }

    /** Returns the entries registered at the platform; malformed registrations are skipped. */
    List<EntryInfo> entries() {
        List<EntryInfo> entries = new ArrayList<>();
        for (KeyValueStore.Item item : store().list(EntrySync.PREFIX).join().items()) {
            try {
                entries.add(JSON.readValue(item.value(), EntryInfo.class));
            } catch (IOException e) {
                // malformed registration
            }
        }
        return entries;
    }

    /** Returns the status of an entry, empty without a valid answer in time. */
    Optional<StatusReport> status(EntryInfo entry) {
        HostPort address = HostPort.parse(entry.operatorAddress());
        return client().call(HttpCall.get(address, "/status", STATUS_TIMEOUT_MILLIS))
                .handle((reply, failure) -> failure == null ? parse(reply.body()) : null)
                .thenApply(Optional::ofNullable)
                .join();
    }

    @Override
    public void close() {
        if (client != null) {
            client.close();
        }
        timer.shutdownNow();
    }

    private static StatusReport parse(byte[] body) {
        try {
            return JSON.readValue(body, StatusReport.class);
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized HttpClient client() {
        if (client == null) {
            client = new HttpClient(timer);
        }
        return client;
    }
}
