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

import io.trailladder.core.pipeline.EventSteps;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The record of the services whose events do not have consecutive ids. A process that has started
 * knows by it where no event is missing before it has seen any of the service.
 *
 * <p>The value consists of the number of services, in two bytes, and their names in modified UTF-8.
 */
final class EventStepsRecord implements StoreRecord.Content<Set<String>> {
    /** Key of the record. */
    static final String KEY = "trailladder/record/uneven-steps";

    /** Max. number of services in a record. */
    private static final int MAX_SERVICES = 1_000;

    private final EventSteps steps;

    /**
     * Creates the content.
     *
     * @param steps how the ids of each service rise
     * @param firstStart true if no record was written before
     */
    EventStepsRecord(EventSteps steps, boolean firstStart) {
        this.steps = steps;
        if (!firstStart) {
            steps.othersRan();
        }
    }

    @Override
    public Optional<Set<String>> absent() {
        return Optional.of(Set.of());
    }

    @Override
    public Optional<Set<String>> current() {
        Set<String> services = steps.uneven();
        return services.size() > MAX_SERVICES ? Optional.empty() : Optional.of(services);
    }

    @Override
    public byte[] encode(Set<String> services) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeShort(services.size());
            for (String service : services) {
                out.writeUTF(service);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    @Override
    public boolean read(Optional<byte[]> value) throws IOException {
        steps.recorded(value.isPresent() ? services(value.get()) : Set.of());
        return true;
    }

    private static Set<String> services(byte[] value) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(value));
        int count = in.readUnsignedShort();
        if (count > MAX_SERVICES) {
            throw new IOException(count + " services, expected at most " + MAX_SERVICES);
        }
        Set<String> services = new HashSet<>();
        for (int i = 0; i < count; i++) {
            services.add(in.readUTF());
        }
        return services;
    }
}
