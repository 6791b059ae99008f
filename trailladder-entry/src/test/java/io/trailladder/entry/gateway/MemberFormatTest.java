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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.trailladder.core.membership.GatewayMember;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/** Tests the encoding of the members' store entries. */
class MemberFormatTest {
    private static final int MAX_MESSAGE_CHARS = 400;

    private static final GatewayMember MEMBER =
            new GatewayMember("edge-1", "baires-a", "10.0.0.1:7400", 140.5, 0.36);

    @Example
    void writtenEntryIsReadBackUnchanged() {
        assertEquals(MEMBER, MemberFormat.read(MemberFormat.write(MEMBER)).get());
    }

    /** Processes of the previous version write their entries with Jackson. */
    @Example
    void entryIsCompatibleWithJackson() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        assertEquals(MEMBER, MemberFormat.read(mapper.writeValueAsBytes(MEMBER)).get());
        assertEquals(MEMBER, mapper.readValue(MemberFormat.write(MEMBER), GatewayMember.class));
    }

    @Example
    void malformedEntryIsRefused() {
        byte[] nameless = "{\"address\":\"h:1\"}".getBytes(StandardCharsets.UTF_8);
        assertTrue(MemberFormat.read(nameless).getLeft().contains("missing name"));
        assertTrue(MemberFormat.read(new byte[] {1, 2}).getLeft().contains("invalid JSON"));
        assertTrue(MemberFormat.read(new byte[0]).isLeft());
    }

    @Example
    void entryWithAnInvalidAddressIsRefused() {
        String entry = "{\"name\": \"g1\", \"dataCentre\": \"a\", \"address\": \"nowhere\"}";
        String error = MemberFormat.read(entry.getBytes(StandardCharsets.UTF_8)).getLeft();
        assertTrue(error.startsWith("address 'nowhere', expected HOST:PORT"), error);
    }

    /** Guards against messages that are as long as the entry that they report. */
    @Example
    void messagesAreShort() {
        String text = "x".repeat(60_000);
        for (String entry :
                new String[] {
                    "{\"name\": {\"" + text + "\": 1}}",
                    "{\"name\": \"g1\", \"address\": \"" + text + "\"}",
                    "{\"name\": \"" + text + "\", \"address\": \"10.0.0.1:80\"}",
                    "\"" + text
                }) {
            String message = MemberFormat.read(entry.getBytes(StandardCharsets.UTF_8)).getLeft();
            assertTrue(message.length() <= MAX_MESSAGE_CHARS, message.length() + " characters");
        }
    }

    /** Guards against figures of a process by which no share can be computed. */
    @Example
    void entryWithFiguresOutOfRangeIsRefused() {
        for (String figure : new String[] {"1e400", "-1", "\"NaN\"", "[]"}) {
            String entry =
                    "{\"name\": \"g1\", \"address\": \"10.0.0.1:80\", \"cores\": %s}"
                            .formatted(figure);
            assertTrue(MemberFormat.read(entry.getBytes(StandardCharsets.UTF_8)).isLeft(), figure);
        }
    }
}
