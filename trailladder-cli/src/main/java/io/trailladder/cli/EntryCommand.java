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

import io.trailladder.core.TrailladderException;
import io.trailladder.entry.EntryDaemon;
import io.trailladder.entry.EntrySettings;
import io.trailladder.entry.EntrySettings.CallerLimits;
import io.trailladder.entry.EntrySettings.Foreign;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tinylog.jul.JulTinylogBridge;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs one entry until it is stopped.
 *
 * <p>Every option can be given by an environment variable. All invalid options are reported
 * together.
 *
 * @since 0.1
 */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Run one entry: accepts callers' requests and serves them where the table allows.",
        footer = {
            "",
            "The key that all entries share comes from --peer-key-file or TRAILLADDER_PEER_KEY,",
            "never from an option. SIGTERM stops the entry without cutting off requests."
        })
public final class EntryCommand implements Callable<Integer> {
    private static final int MIN_KEY_BYTES = 16;
    private static final String KEY_VARIABLE = "TRAILLADDER_PEER_KEY";
    private static final String DATA_CENTRE = "[a-z0-9][a-z0-9._-]{0,62}";

    @Spec private CommandSpec spec;

    @Option(
            names = "--data-centre",
            defaultValue = "${env:TRAILLADDER_DATA_CENTRE}",
            description = "data centre this entry runs in (TRAILLADDER_DATA_CENTRE)")
    private String dataCentre;

    @Option(
            names = "--instance",
            defaultValue = "${env:TRAILLADDER_INSTANCE}",
            description = "this instance's name in the cloud's notices (TRAILLADDER_INSTANCE)")
    private String instance;

    @Option(
            names = "--caller-address",
            defaultValue = "${env:TRAILLADDER_CALLER_ADDRESS}",
            description = "HOST:PORT for callers (TRAILLADDER_CALLER_ADDRESS)")
    private String callerAddress;

    @Option(
            names = "--peer-address",
            defaultValue = "${env:TRAILLADDER_PEER_ADDRESS}",
            description = "HOST:PORT for other entries (TRAILLADDER_PEER_ADDRESS)")
    private String peerAddress;

    @Option(
            names = "--operator-address",
            defaultValue = "${env:TRAILLADDER_OPERATOR_ADDRESS}",
            description = "HOST:PORT for probes, metrics and status (TRAILLADDER_OPERATOR_ADDRESS)")
    private String operatorAddress;

    @Option(
            names = "--key-value",
            defaultValue = "${env:TRAILLADDER_KEY_VALUE}",
            description = "HOST:PORT of the platform's key-value service (TRAILLADDER_KEY_VALUE)")
    private String keyValue;

    @Option(
            names = "--cloud",
            defaultValue = "${env:TRAILLADDER_CLOUD}",
            description = "HOST:PORT of the cloud's API (TRAILLADDER_CLOUD)")
    private String cloud;

    @Option(
            names = "--peers",
            defaultValue = "${env:TRAILLADDER_PEERS}",
            description =
                    "peer addresses separated by commas, for a start while the platform is down"
                            + " (TRAILLADDER_PEERS)")
    private String peers;

    @Option(
            names = "--peer-key-file",
            defaultValue = "${env:TRAILLADDER_PEER_KEY_FILE}",
            description =
                    "file with the key all entries share, at least 16 bytes"
                            + " (TRAILLADDER_PEER_KEY_FILE)")
    private Path peerKeyFile;

    @Option(
            names = "--max-body-bytes",
            defaultValue = "${env:TRAILLADDER_MAX_BODY_BYTES:-1048576}",
            description = "largest request body (TRAILLADDER_MAX_BODY_BYTES; ${DEFAULT-VALUE})")
    private int maxBodyBytes;

    @Option(
            names = "--max-header-bytes",
            defaultValue = "${env:TRAILLADDER_MAX_HEADER_BYTES:-16384}",
            description = "largest request head (TRAILLADDER_MAX_HEADER_BYTES; ${DEFAULT-VALUE})")
    private int maxHeaderBytes;

    @Option(
            names = "--max-streams",
            defaultValue = "${env:TRAILLADDER_MAX_STREAMS:-2000}",
            description = "requests in flight at once (TRAILLADDER_MAX_STREAMS; ${DEFAULT-VALUE})")
    private int maxStreams;

    @Option(
            names = "--caller-idle",
            defaultValue = "${env:TRAILLADDER_CALLER_IDLE:-30s}",
            description = "idle timeout of callers (TRAILLADDER_CALLER_IDLE; ${DEFAULT-VALUE})")
    private String callerIdle;

    @Option(
            names = "--patience",
            defaultValue = "${env:TRAILLADDER_PATIENCE:-20s}",
            description =
                    "how long a request may wait for an upstream (TRAILLADDER_PATIENCE;"
                            + " ${DEFAULT-VALUE})")
    private String patience;

    @Option(
            names = "--upstream-idle",
            defaultValue = "${env:TRAILLADDER_UPSTREAM_IDLE:-5s}",
            description =
                    "idle timeout of upstreams (TRAILLADDER_UPSTREAM_IDLE;" + " ${DEFAULT-VALUE})")
    private String upstreamIdle;

    @Option(
            names = "--reattach",
            defaultValue = "${env:TRAILLADDER_REATTACH:-2s}",
            description =
                    "how long an answer continues after its caller disconnects (TRAILLADDER_REATTACH;"
                            + " ${DEFAULT-VALUE})")
    private String reattach;

    @Option(
            names = "--claim-retention",
            defaultValue = "${env:TRAILLADDER_CLAIM_RETENTION:-24h}",
            description =
                    "how long keys of at-most-once requests are kept"
                            + " (TRAILLADDER_CLAIM_RETENTION; ${DEFAULT-VALUE})")
    private String claimRetention;

    @Option(
            names = "--drain",
            defaultValue = "${env:TRAILLADDER_DRAIN:-30s}",
            description =
                    "how long a stop waits for requests in flight (TRAILLADDER_DRAIN;"
                            + " ${DEFAULT-VALUE})")
    private String drain;

    @Option(
            names = "--foreign",
            defaultValue = "${env:TRAILLADDER_FOREIGN:-relay}",
            description =
                    "relay or redirect requests that may not be read here (TRAILLADDER_FOREIGN;"
                            + " ${DEFAULT-VALUE})")
    private String foreign;

    private final List<String> faults = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        EntrySettings settings = settings();
        if (!faults.isEmpty()) {
            throw new ParameterException(spec.commandLine(), String.join("\n", faults));
        }
        JulTinylogBridge.activate();
        EntryDaemon daemon = new EntryDaemon(settings);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    daemon.stop();
                                    stopped.countDown();
                                },
                                "stop"));
        daemon.start();
        stopped.await();
        return 0;
    }

    private EntrySettings settings() {
        CallerLimits limits =
                new CallerLimits(
                        positive("--max-body-bytes", maxBodyBytes),
                        positive("--max-header-bytes", maxHeaderBytes),
                        positive("--max-streams", maxStreams),
                        duration("--caller-idle", callerIdle),
                        duration("--patience", patience),
                        duration("--upstream-idle", upstreamIdle),
                        duration("--reattach", reattach));
        return new EntrySettings(
                dataCentre(),
                instance == null ? "" : instance,
                address("--caller-address", callerAddress),
                address("--peer-address", peerAddress),
                address("--operator-address", operatorAddress),
                address("--key-value", keyValue),
                address("--cloud", cloud),
                peerList(),
                peerKey(),
                limits,
                duration("--claim-retention", claimRetention),
                duration("--drain", drain),
                foreign());
    }

    private String dataCentre() {
        if (dataCentre == null || !dataCentre.matches(DATA_CENTRE)) {
            fault("--data-centre", dataCentre, "a name of a-z, 0-9, '.', '_', '-'");
        }
        return dataCentre;
    }

    private List<String> peerList() {
        if (peers == null || peers.isBlank()) {
            return List.of();
        }
        List<String> list = Arrays.stream(peers.split(",")).map(String::trim).toList();
        list.forEach(peer -> address("--peers", peer));
        return list;
    }

    private byte[] peerKey() {
        byte[] key = new byte[0];
        try {
            String variable = System.getenv(KEY_VARIABLE);
            if (peerKeyFile != null) {
                key = Files.readString(peerKeyFile).strip().getBytes(StandardCharsets.UTF_8);
            } else if (variable != null) {
                key = variable.getBytes(StandardCharsets.UTF_8);
            }
        } catch (IOException e) {
            fault("--peer-key-file", peerKeyFile.toString(), "a readable file");
            return key;
        }
        if (key.length < MIN_KEY_BYTES) {
            faults.add(
                    "the peer key has "
                            + key.length
                            + " bytes, expected at least "
                            + MIN_KEY_BYTES
                            + " in --peer-key-file or "
                            + KEY_VARIABLE);
        }
        return key;
    }

    private Foreign foreign() {
        for (Foreign choice : Foreign.values()) {
            if (choice.name().equalsIgnoreCase(foreign)) {
                return choice;
            }
        }
        fault("--foreign", foreign, "relay or redirect");
        return Foreign.RELAY;
    }

    private HostPort address(String option, String value) {
        try {
            if (value != null) {
                return HostPort.parse(value);
            }
        } catch (TrailladderException e) {
            // reported below, as a missing address is
        }
        fault(option, value, "HOST:PORT, for example 127.0.0.1:8080");
        return null;
    }

    private long duration(String option, String value) {
        try {
            return Durations.parseMillis(value);
        } catch (TrailladderException e) {
            fault(option, value, Durations.EXPECTED_FORM);
            return 1;
        }
    }

    private int positive(String option, int value) {
        if (value < 1) {
            fault(option, Integer.toString(value), "a whole number above 0");
        }
        return value;
    }

    private void fault(String option, String value, String expected) {
        String found = value == null ? "is missing" : "'" + value + "'";
        faults.add("option " + option + " " + found + ", expected " + expected);
    }
}
