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

import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Tells peers for which organisations this process holds few units. Its section also shows that
 * this process can be asked for units. Hubs are told once units accrue here: before that, units
 * that they return could not be held. Leaves are told at once, because their hub passes on what
 * they ask for.
 */
final class LimitNeeds implements DigestPart {
    private static final int MAX_NAME_BYTES = 255;

    /** How long an empty section is repeated after a change or a new link, in milliseconds. */
    private static final long REPEAT_MILLIS = 600;

    /** Interval between two empty sections otherwise, in milliseconds. */
    private static final long EMPTY_INTERVAL_MILLIS = 2_000;

    private final Supplier<Collection<String>> own;
    private final BooleanSupplier accruing;
    private final Map<String, Set<String>> byPeer = new HashMap<>();
    private Optional<LimitSuppliers> suppliers = Optional.empty();
    private long changedMillis;
    private long writtenMillis = -EMPTY_INTERVAL_MILLIS;

    /**
     * Creates the part.
     *
     * @param own returns the organisations for which this process holds few units
     * @param accruing returns whether units accrue at this process
     */
    LimitNeeds(Supplier<Collection<String>> own, BooleanSupplier accruing) {
        this.own = own;
        this.accruing = accruing;
    }

    /** Sets what is notified of the peers that can be asked. */
    void suppliers(LimitSuppliers known) {
        suppliers = Optional.of(known);
    }

    /** Returns whether a peer holds few units of an organisation. */
    boolean isNeededBy(String peer, String organisation) {
        return byPeer.getOrDefault(peer, Set.of()).contains(organisation);
    }

    @Override
    public String name() {
        return "limit-needs";
    }

    @Override
    public int version() {
        return 1;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        boolean accrues = accruing.getAsBoolean();
        Collection<String> names = own.get();
        if (!names.isEmpty() || !accrues) {
            changedMillis = nowMillis;
        }
        if (!accrues && scope != DigestScope.REST) {
            return Optional.empty();
        }
        boolean due = nowMillis - writtenMillis >= EMPTY_INTERVAL_MILLIS;
        if (nowMillis - changedMillis >= REPEAT_MILLIS && !due && nowMillis != writtenMillis) {
            return Optional.empty();
        }
        writtenMillis = nowMillis;
        return Optional.of(new DigestSection(name(), version(), 0, body(names)));
    }

    private static byte[] body(Collection<String> names) {
        ByteBuffer bytes = ByteBuffer.allocate(DigestSection.MAX_BODY_BYTES);
        for (String organisation : names) {
            byte[] name = organisation.getBytes(StandardCharsets.UTF_8);
            if (name.length <= MAX_NAME_BYTES && bytes.remaining() > name.length) {
                bytes.put((byte) name.length).put(name);
            }
        }
        byte[] body = new byte[bytes.position()];
        bytes.flip().get(body);
        return body;
    }

    @Override
    public void linked(String peer, long nowMillis) {
        changedMillis = nowMillis;
        suppliers.ifPresent(known -> known.linked(peer));
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        List<String> names =
                ReportBytes.readAll(ByteBuffer.wrap(section.body()), LimitNeeds::readName);
        byPeer.put(peer, new HashSet<>(names));
        suppliers.ifPresent(known -> known.capable(peer));
    }

    private static String readName(ByteBuffer bytes) throws IOException {
        byte[] name = new byte[Byte.toUnsignedInt(bytes.get())];
        bytes.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    @Override
    public void forget(String peer) {
        byPeer.remove(peer);
        suppliers.ifPresent(known -> known.forget(peer));
    }
}
