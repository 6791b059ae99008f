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

import io.trailladder.core.upstream.VersionPlan;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Encodes and decodes the slots of each version by service, for peers and for the store. */
final class PlanFormat {
    private static final int MAX_SERVICES = 10_000;

    private PlanFormat() {}

    static void write(Map<String, Map<String, Integer>> services, DataOutputStream out)
            throws IOException {
        out.writeShort(services.size());
        for (Map.Entry<String, Map<String, Integer>> service : services.entrySet()) {
            out.writeUTF(service.getKey());
            out.writeByte(service.getValue().size());
            for (Map.Entry<String, Integer> version : service.getValue().entrySet()) {
                out.writeUTF(version.getKey());
                out.writeInt(version.getValue());
            }
        }
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @throws IOException if it is invalid
     */
    static Map<String, Map<String, Integer>> read(DataInputStream in) throws IOException {
        int count = readCount(in, MAX_SERVICES, "services");
        Map<String, Map<String, Integer>> services = new HashMap<>();
        for (int i = 0; i < count; i++) {
            services.put(in.readUTF(), readSlots(in));
        }
        return services;
    }

    private static Map<String, Integer> readSlots(DataInputStream in) throws IOException {
        int count = checkedCount(in.readUnsignedByte(), VersionPlan.MAX_VERSIONS, "versions");
        Map<String, Integer> slots = new HashMap<>();
        for (int i = 0; i < count; i++) {
            slots.put(in.readUTF(), in.readInt());
        }
        return slots;
    }

    /**
     * Reads a number of elements.
     *
     * @param max the largest number that is expected
     * @param what the elements, for the message
     * @throws IOException if there are more
     */
    static int readCount(DataInputStream in, int max, String what) throws IOException {
        return checkedCount(in.readUnsignedShort(), max, what);
    }

    private static int checkedCount(int count, int max, String what) throws IOException {
        if (count > max) {
            throw new IOException(count + " " + what + ", expected at most " + max);
        }
        return count;
    }
}
