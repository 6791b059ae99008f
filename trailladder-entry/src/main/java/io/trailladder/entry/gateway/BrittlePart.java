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

import io.trailladder.core.upstream.BrittleUpstreams;
import io.trailladder.core.upstream.BrittleUpstreams.Statement;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Passes on to peers which upstreams are brittle, so that a process knows it before its first
 * request there. Statements are passed on unchanged, and lapse unless an answer repeats them.
 */
final class BrittlePart implements DigestPart {
    /** Maximum number of statements in one digest. */
    static final int MAX_STATEMENTS = 64;

    private final BrittleUpstreams brittle;

    BrittlePart(BrittleUpstreams brittle) {
        this.brittle = brittle;
    }

    @Override
    public String name() {
        return "brittle";
    }

    @Override
    public int version() {
        return 1;
    }

    @Override
    public Optional<DigestSection> write(DigestScope scope, List<String> peers, long nowMillis) {
        if (brittle.isEmpty()) {
            return Optional.empty();
        }
        List<Statement> statements = brittle.statements().stream().limit(MAX_STATEMENTS).toList();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeShort(statements.size());
            for (Statement each : statements) {
                out.writeUTF(each.upstream());
                out.writeLong(each.startedMillis());
                out.writeDouble(each.refusalsPerSecond());
                out.writeLong(nowMillis - each.saidMillis());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Optional.of(new DigestSection(name(), version(), 0, bytes.toByteArray()));
    }

    @Override
    public void received(String peer, DigestSection section, long nowMillis) throws IOException {
        long writtenMillis = nowMillis - section.ageMillis();
        for (Statement statement : read(section.body(), writtenMillis)) {
            brittle.apply(statement);
        }
    }

    private static List<Statement> read(byte[] body, long writtenMillis) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
        int count = in.readUnsignedShort();
        if (count > MAX_STATEMENTS) {
            throw new IOException(count + " statements, expected at most " + MAX_STATEMENTS);
        }
        List<Statement> statements = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String upstream = in.readUTF();
            long startedMillis = in.readLong();
            double perSecond = in.readDouble();
            long ageMillis = in.readLong();
            if (!(perSecond >= 0) || Double.isInfinite(perSecond) || ageMillis < 0) {
                throw new IOException(
                        perSecond
                                + " refusals a second, said "
                                + ageMillis
                                + " ms ago, expected numbers from 0");
            }
            statements.add(
                    new Statement(upstream, startedMillis, perSecond, writtenMillis - ageMillis));
        }
        return statements;
    }

    /** Keeps the statements: they stay true when the peer does not respond. */
    @Override
    public void forget(String peer) {}
}
