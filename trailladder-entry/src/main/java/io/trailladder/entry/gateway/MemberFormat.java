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
import io.trailladder.core.membership.GatewayMember;
import io.trailladder.entry.JsonTree;
import io.trailladder.platform.http.HostPort;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Writes and reads the store entry of a process field by field. Data binding by reflection would
 * cost a starting process some 30 ms of processor time.
 */
final class MemberFormat {
    private static final String NAME = "name";
    private static final String DATA_CENTRE = "dataCentre";
    private static final String ADDRESS = "address";
    private static final String LINK_MBPS = "linkMbps";
    private static final String CORES = "cores";

    /** Maximum length of a name, in characters: the store's keys are no longer. */
    private static final int MAX_NAME_CHARS = 200;

    private MemberFormat() {}

    /** Writes an entry. */
    static byte[] write(GatewayMember member) {
        return JsonTree.write(
                JsonTree.object()
                        .put(NAME, member.name())
                        .put(DATA_CENTRE, member.dataCentre())
                        .put(ADDRESS, member.address())
                        .put(LINK_MBPS, member.linkMbps())
                        .put(CORES, member.cores()));
    }

    /** Returns the entry that was read, or the fault of one that cannot be read. */
    static Either<String, GatewayMember> read(byte[] value) {
        try {
            JsonNode node = JsonTree.read(value);
            String name = node.path(NAME).asText();
            String address = node.path(ADDRESS).asText();
            String dataCentre = node.path(DATA_CENTRE).asText();
            if (name.isEmpty() || address.isEmpty()) {
                return Either.left("missing name or address");
            }
            if (Math.max(name.length(), dataCentre.length()) > MAX_NAME_CHARS) {
                return Either.left("name or data centre over " + MAX_NAME_CHARS + " characters");
            }
            if (!isFigure(node.path(LINK_MBPS)) || !isFigure(node.path(CORES))) {
                return Either.left("link rate or cores invalid, expected numbers from 0");
            }
            return Either.right(
                    new GatewayMember(
                            name,
                            dataCentre,
                            HostPort.parse(address).toString(),
                            node.path(LINK_MBPS).asDouble(),
                            node.path(CORES).asDouble()));
        } catch (TrailladderException e) {
            return Either.left(e.getMessage());
        } catch (IOException e) {
            return Either.left("invalid JSON: " + e.getMessage());
        }
    }

    /** Returns whether a figure is valid or missing, as earlier builds leave some out. */
    private static boolean isFigure(JsonNode figure) {
        double value = figure.doubleValue();
        return figure.isMissingNode()
                || (figure.isNumber() && value >= 0 && Double.isFinite(value));
    }
}
