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
package io.trailladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Trees equal those of Jackson's object mapper, and arbitrary bytes cause no other exception. */
class JsonTreeTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void assertSame(String text) throws IOException {
        JsonNode expected = MAPPER.readTree(text);
        JsonNode read = JsonTree.read(bytes(text));
        assertEquals(expected, read);
        assertEquals(expected, MAPPER.readTree(JsonTree.write(read)));
    }

    @Example
    void treesAreThoseOfTheMapper() throws IOException {
        assertSame("{\"a\":1,\"b\":[1.5,-2,true,false,null,\"x\\ny\"],\"c\":{\"d\":{}}}");
        assertSame("[9007199254740993,123456789012345678901234567890,1e300,0.1]");
        assertSame("\"text\"");
        assertSame("{\"same\":1,\"same\":2}");
    }

    @Example
    void nothingIsAMissingNode() throws IOException {
        assertTrue(JsonTree.read(new byte[0]).isMissingNode());
        assertTrue(JsonTree.read(bytes("  ")).isMissingNode());
    }

    @Example
    void brokenAndDeepTextIsRefused() {
        assertThrows(JsonProcessingException.class, () -> JsonTree.read(bytes("{\"a\":")));
        assertThrows(JsonProcessingException.class, () -> JsonTree.read(bytes("{a:1}")));
        assertThrows(IOException.class, () -> JsonTree.read(bytes("[".repeat(100_000))));
    }

    @Property(tries = 5_000, seed = "20261202")
    void randomBytesAreReadOrRefused(@ForAll @Size(max = 40) byte[] bytes) {
        try {
            JsonTree.read(bytes);
        } catch (IOException expected) {
            assertTrue(expected.getMessage() != null);
        }
    }
}
