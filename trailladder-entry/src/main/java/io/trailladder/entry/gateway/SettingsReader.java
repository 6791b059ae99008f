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
package io.trailladder.entry.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import io.trailladder.core.TrailladderException;
import io.trailladder.entry.JsonTree;
import io.trailladder.entry.gateway.GatewaySettings.Limits;
import io.trailladder.entry.gateway.GatewaySettings.Listen;
import io.trailladder.entry.gateway.GatewaySettings.Node;
import io.trailladder.entry.gateway.GatewaySettings.Regions;
import io.trailladder.entry.gateway.GatewaySettings.Retries;
import io.trailladder.entry.gateway.GatewaySettings.Rollouts;
import io.trailladder.entry.gateway.GatewaySettings.Timing;
import io.trailladder.entry.gateway.GatewaySettings.Tolerance;
import io.trailladder.platform.http.HostPort;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads and checks a gateway's settings file, which is JSON.
 *
 * <pre>{@code
 * {"node": {"name": "edge-1", "data_centre": "baires-a", "first_start": true},
 *  "listen": {"callers": "10.0.0.1:80", "health": "10.0.0.1:81", ...}, ...}
 * }</pre>
 *
 * @since 0.2
 */
public final class SettingsReader {
    /** The platform counts memory in units of 2 to the 20th bytes. */
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final String file;
    private final JsonNode root;
    private final List<String> faults = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    private SettingsReader(String file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if it cannot be read, or naming every wrong option
     */
    public static GatewaySettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(), List.of("cannot be read, expected a JSON file: " + e));
        }
    }

    /**
     * Reads settings from text.
     *
     * @param file the name to be used in messages
     * @param text the file's content
     * @return the settings
     * @throws SettingsException naming every wrong option
     */
    public static GatewaySettings parse(String file, String text) {
        try {
            return new SettingsReader(file, JsonTree.read(text.getBytes(StandardCharsets.UTF_8)))
                    .settings();
        } catch (IOException e) {
            throw new SettingsException(
                    file, List.of("is no JSON, expected an object: " + e.getMessage()));
        }
    }

    private GatewaySettings settings() {
        refuseOldKey("/node/zone", "node.data_centre");
        GatewaySettings settings =
                new GatewaySettings(
                        new Node(
                                text("/node/name"),
                                text("/node/data_centre"),
                                root.at("/node/first_start").asBoolean(false),
                                number("/capacity/core_share", GatewaySettings.DEFAULT_CORES)
                                        * number("/capacity/core_speed", 1),
                                number("/capacity/link_mbps", GatewaySettings.DEFAULT_LINK_MBPS)),
                        new Listen(
                                address("/listen/callers"),
                                address("/listen/health"),
                                address("/listen/peers"),
                                address("/listen/metrics")),
                        addresses("/seeds"),
                        address("/store"),
                        address("/cloud"),
                        new Retries(
                                number("/retries/ratio", 0.1),
                                number("/retries/allowance", 0),
                                millis("/retries/window_s", 10)),
                        new Tolerance(number("/tolerance/ratio", 0), number("/tolerance/units", 0)),
                        rollouts(),
                        new Timing(
                                millis("/timing/grace_s", 8),
                                (long) number("/timing/lease_ms", 3_000),
                                millis("/timing/usage_window_s", 5)),
                        limits(),
                        regions(),
                        notes);
        if (!faults.isEmpty()) {
            throw new SettingsException(file, faults);
        }
        return settings;
    }

    /** A key of an earlier version is no default: it is refused with the name to use. */
    private void refuseOldKey(String pointer, String name) {
        JsonNode node = root.at(pointer);
        if (!node.isMissingNode()) {
            fault(pointer, node, "it under its new name " + name);
        }
    }

    private Limits limits() {
        double megabytes = number("/capacity/memory_mb", 0);
        if (megabytes == 0) {
            notes.add("option capacity.memory_mb is not set, no bound of memory is known");
        }
        return new Limits(
                (long) (megabytes * BYTES_PER_MEGABYTE), (int) number("/capacity/descriptors", 0));
    }

    /** What cannot be used is noted, and all data centres count as one region. */
    private Regions regions() {
        String own = root.at("/node/region").asText();
        Map<String, String> byDataCentre = new TreeMap<>();
        root.at("/regions")
                .properties()
                .forEach(entry -> byDataCentre.put(entry.getKey(), entry.getValue().asText()));
        if (own.isEmpty() && byDataCentre.isEmpty()) {
            notes.add("option node.region is not set, all data centres are one region");
            return Regions.ONE;
        }
        String listed = byDataCentre.get(root.at("/node/data_centre").asText());
        if (!own.equals(listed)) {
            notes.add(
                    "option node.region is '"
                            + own
                            + "', expected the region that the option regions has for the own data"
                            + " centre, which is '"
                            + listed
                            + "'; all data centres are one region");
            return Regions.ONE;
        }
        if (byDataCentre.containsValue("")) {
            notes.add(
                    "option regions is "
                            + byDataCentre
                            + ", expected a region's name for each data centre; all are one"
                            + " region");
            return Regions.ONE;
        }
        return new Regions(own, byDataCentre);
    }

    private Rollouts rollouts() {
        if (!root.at("/rollouts").isObject()) {
            return Rollouts.NONE;
        }
        double share = number("/rollouts/share", 0);
        if (share > 1) {
            fault("/rollouts/share", root.at("/rollouts/share"), "a part from 0 to 1");
        }
        return new Rollouts(true, share, number("/rollouts/allowance", 0));
    }

    private String text(String pointer) {
        JsonNode node = root.at(pointer);
        if (!node.isTextual() || node.asText().isEmpty()) {
            fault(pointer, node, "a text");
            return "";
        }
        return node.asText();
    }

    private HostPort address(String pointer) {
        return parseAddress(pointer, root.at(pointer));
    }

    private List<HostPort> addresses(String pointer) {
        List<HostPort> addresses = new ArrayList<>();
        for (JsonNode node : root.at(pointer)) {
            addresses.add(parseAddress(pointer, node));
        }
        return addresses;
    }

    private HostPort parseAddress(String pointer, JsonNode node) {
        try {
            return HostPort.parse(node.asText());
        } catch (TrailladderException | IllegalArgumentException e) {
            fault(pointer, node, "an address such as 10.0.0.1:8080");
            return new HostPort("", 0);
        }
    }

    private double number(String pointer, double otherwise) {
        JsonNode node = root.at(pointer);
        if (node.isMissingNode() || node.isNull()) {
            return otherwise;
        }
        if (!node.isNumber() || node.asDouble() < 0) {
            fault(pointer, node, "a number that is not below 0");
            return otherwise;
        }
        return node.asDouble();
    }

    private long millis(String pointer, double otherwiseSeconds) {
        return (long) (number(pointer, otherwiseSeconds) * 1000);
    }

    private void fault(String pointer, JsonNode node, String expected) {
        String name = pointer.substring(1).replace('/', '.');
        faults.add("option " + name + " is '" + node.asText() + "', expected " + expected);
    }
}
