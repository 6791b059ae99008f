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
package io.trailladder.cli.fault;

import io.trailladder.cli.TrailladderCommand;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.entry.EntrySettings;
import io.trailladder.entry.EntrySettings.CallerLimits;
import io.trailladder.entry.EntrySettings.Foreign;
import io.trailladder.platform.HttpKeyValueStore;
import io.trailladder.platform.KeyValueStore;
import io.trailladder.platform.TableStore;
import io.trailladder.platform.http.HostPort;
import io.trailladder.platform.http.HttpCall;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.testkit.CloudStandIn;
import io.trailladder.testkit.EngineStandIn;
import io.trailladder.testkit.KeyValueStandIn;
import io.trailladder.testkit.ReservedPorts;
import io.trailladder.testkit.ServiceStandIn;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

/**
 * A small system: stand-ins in this process, entries in this process or as processes of their own.
 */
final class Deployment implements AutoCloseable {
    static final String MODEL = "modelo-hipo";
    static final String SERVICE = "calculo";
    static final long LIST_LAG_MILLIS = 30_000;
    private static final String PEER_KEY = "failure-tests-shared-key";
    private static final long AWAIT_MILLIS = 30_000;

    final KeyValueStandIn keyValue = new KeyValueStandIn("127.0.0.1", 0);
    final CloudStandIn cloud = new CloudStandIn("127.0.0.1", 0, LIST_LAG_MILLIS);
    final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    final Map<String, ServiceStandIn> services = new LinkedHashMap<>();
    final List<EntryDaemon> entries = new ArrayList<>();
    final List<SpawnedEntry> spawned = new ArrayList<>();
    final HttpClient client;

    /** Ports of entries that are processes, which bind them long after they were chosen. */
    private final ReservedPorts ports = new ReservedPorts();

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    work -> {
                        Thread thread = new Thread(work);
                        thread.setDaemon(true);
                        return thread;
                    });

    /** An entry in a process of its own. */
    record SpawnedEntry(Process process, String callerAddress, String operatorAddress) {
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    Deployment() throws IOException {
        keyValue.start();
        cloud.start();
        client = new HttpClient(timer);
    }

    EngineStandIn engine(String id, String dataCentre) throws IOException {
        EngineStandIn engine =
                new EngineStandIn(
                        "127.0.0.1", 0, new EngineStandIn.Settings(5, 200_000, 64, 4_000));
        engine.start();
        engines.put(id, engine);
        cloud.register(id, dataCentre, engine.address(), MODEL);
        return engine;
    }

    ServiceStandIn service(String id, String dataCentre) throws IOException {
        ServiceStandIn service = new ServiceStandIn("127.0.0.1", 0);
        service.start();
        services.put(id, service);
        cloud.register(id, dataCentre, service.address(), SERVICE);
        return service;
    }

    /** Starts an entry in this process. */
    EntryDaemon entry(String dataCentre) throws IOException {
        return entry(dataCentre, List.of());
    }

    EntryDaemon entry(String dataCentre, List<String> peers) throws IOException {
        EntryDaemon entry =
                ReservedPorts.start(3, ports -> started(settings(dataCentre, peers, ports)));
        entries.add(entry);
        return entry;
    }

    private EntrySettings settings(String dataCentre, List<String> peers, List<Integer> ports) {
        return new EntrySettings(
                dataCentre,
                "",
                local(ports.get(0)),
                local(ports.get(1)),
                local(ports.get(2)),
                HostPort.parse(keyValue.address()),
                HostPort.parse(cloud.address()),
                peers,
                PEER_KEY.getBytes(StandardCharsets.UTF_8),
                new CallerLimits(1 << 20, 16 * 1024, 2_000, 2_000, 20_000, 3_000, 1_000),
                3_600_000,
                20_000,
                Foreign.RELAY);
    }

    private static EntryDaemon started(EntrySettings settings) throws IOException {
        EntryDaemon entry = new EntryDaemon(settings);
        try {
            entry.start();
        } catch (IOException e) {
            entry.kill();
            throw e;
        }
        return entry;
    }

    /** Starts an entry as a process. */
    SpawnedEntry spawn(String dataCentre, String... options) throws IOException {
        HostPort callers = local(ports.reserve());
        HostPort operators = local(ports.reserve());
        List<String> command =
                new ArrayList<>(
                        List.of(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xmx128m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                TrailladderCommand.class.getName(),
                                "entry",
                                "--data-centre=" + dataCentre,
                                "--caller-address=" + callers,
                                "--peer-address=" + local(ports.reserve()),
                                "--operator-address=" + operators,
                                "--key-value=" + keyValue.address(),
                                "--cloud=" + cloud.address()));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("TRAILLADDER_PEER_KEY", PEER_KEY);
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File("target/entry-" + callers + ".log"));
        SpawnedEntry entry =
                new SpawnedEntry(builder.start(), callers.toString(), operators.toString());
        spawned.add(entry);
        return entry;
    }

    /**
     * Applies a table in which every organisation may use model and service in the data centres.
     */
    void table(List<String> organisations, List<String> dataCentres) {
        List<Row> rows = new ArrayList<>();
        for (String organisation : organisations) {
            rows.add(row(organisation, MODEL, TargetKind.MODEL, dataCentres));
            rows.add(row(organisation, SERVICE, TargetKind.SERVICE, dataCentres));
        }
        Table base = tables().load().join();
        tables().commit(base, "change-" + base.revision(), "test", rows, List.of()).join().get();
    }

    static Row row(String organisation, String target, TargetKind kind, List<String> dataCentres) {
        return new Row(
                organisation,
                target,
                kind,
                dataCentres,
                10,
                0,
                1200,
                true,
                sha256(key(organisation)));
    }

    static String key(String organisation) {
        return "key-of-" + organisation;
    }

    KeyValueStore store() {
        return new HttpKeyValueStore(client, HostPort.parse(keyValue.address()));
    }

    TableStore tables() {
        return new TableStore(store());
    }

    /**
     * Waits until entries in this process are linked, have the table, upstreams and claim owners.
     */
    void awaitReady() {
        long revision = tables().load().join().revision();
        int peers = entries.size() - 1 + spawned.size();
        for (EntryDaemon entry : entries) {
            await(() -> entry.status().tableRevision() >= revision);
            await(() -> entry.status().peers().size() >= peers);
        }
        for (EntryDaemon entry : entries) {
            String here = entry.self().dataCentre();
            boolean expected = !engines.isEmpty() || !services.isEmpty();
            await(() -> !expected || !entry.status().upstreams().isEmpty() || here.equals("empty"));
        }
        await(this::rangesOwned);
    }

    /** Waits until spawned entries answer and serve. */
    void awaitServing(String organisation) {
        for (SpawnedEntry entry : spawned) {
            await(() -> peers(entry) >= spawned.size() - 1);
            Caller caller = new Caller(entry.callerAddress(), key(organisation));
            await(() -> caller.call("/services/" + SERVICE + "/ping", "ping").status() == 200);
        }
        await(this::rangesOwned);
    }

    private int peers(SpawnedEntry entry) {
        return status(entry).split("\"entry\"").length - 2;
    }

    /** Kills the spawned entry that works on the only open request. */
    void killServing() {
        for (SpawnedEntry entry : spawned) {
            if (entry.process().isAlive() && status(entry).contains("\"openRequests\":1")) {
                entry.process().destroyForcibly();
                return;
            }
        }
    }

    private String status(SpawnedEntry entry) {
        HttpCall call = HttpCall.get(HostPort.parse(entry.operatorAddress()), "/status", 1_000);
        return client.call(call)
                .handle((reply, failure) -> failure == null ? reply.text() : "")
                .join();
    }

    private boolean rangesOwned() {
        return store().get("claims/ranges")
                .join()
                .map(item -> !item.value().contains("\"owner\":\"\""))
                .orElse(false);
    }

    int runs(String key) {
        return services.values().stream().mapToInt(s -> s.runs().getOrDefault(key, 0)).sum();
    }

    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("what was awaited did not come about");
            }
            pause(20);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static HostPort local(int port) {
        return new HostPort("127.0.0.1", port);
    }

    static String sha256(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        spawned.forEach(entry -> entry.process().destroyForcibly());
        entries.forEach(
                entry -> {
                    Thread stop = new Thread(entry::kill);
                    stop.setDaemon(true);
                    stop.start();
                });
        client.close();
        timer.shutdownNow();
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        keyValue.close();
        cloud.close();
        ports.close();
    }
}
