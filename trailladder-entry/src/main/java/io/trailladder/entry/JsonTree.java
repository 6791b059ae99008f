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

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.trailladder.platform.ShortText;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's streaming API only. Jackson's {@code ObjectMapper},
 * which also maps classes, costs a starting process about 0.1 s of processor time.
 *
 * <pre>{@code
 * JsonNode node = JsonTree.read(bytes);
 * byte[] same = JsonTree.write(node);
 * }</pre>
 *
 * @since 0.4
 */
public final class JsonTree {
    /** Maximum nesting depth; the platform's own values have fewer than ten levels. */
    private static final int MAX_DEPTH = 100;

    /** Maximum length of the message about invalid text, in characters. */
    private static final int MAX_MESSAGE_CHARS = 200;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private JsonTree() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Reads a value.
     *
     * @param bytes the JSON text, in UTF-8
     * @return the value; a missing node if the text has none
     * @throws IOException if the text is not valid JSON or nested too deeply
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            JsonToken first = parser.nextToken();
            return first == null ? MissingNode.getInstance() : value(parser);
        } catch (JsonProcessingException e) {
            // the message may cite the text at length
            throw new JsonParseException(
                    null,
                    ShortText.of(e.getOriginalMessage(), MAX_MESSAGE_CHARS),
                    e.getLocation(),
                    e);
        }
    }

    /**
     * Writes a value.
     *
     * @param node the value
     * @return the JSON text, in UTF-8
     */
    public static byte[] write(JsonNode node) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            write(node, json);
        } catch (IOException e) {
            throw new UncheckedIOException("writing JSON to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            node.set(name, value(parser));
        }
        return node;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(value(parser));
        }
        return node;
    }

    private static void write(JsonNode node, JsonGenerator json) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                json.writeStartObject();
                for (Map.Entry<String, JsonNode> field : node.properties()) {
                    json.writeFieldName(field.getKey());
                    write(field.getValue(), json);
                }
                json.writeEndObject();
            }
            case ARRAY -> {
                json.writeStartArray();
                for (JsonNode element : node) {
                    write(element, json);
                }
                json.writeEndArray();
            }
            case STRING -> json.writeString(node.textValue());
            case NUMBER -> number(node, json);
            case BOOLEAN -> json.writeBoolean(node.booleanValue());
            default -> json.writeNull();
        }
    }

    private static void number(JsonNode node, JsonGenerator json) throws IOException {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            json.writeNumber(node.longValue());
        } else if (node.isIntegralNumber()) {
            json.writeNumber(node.bigIntegerValue());
        } else {
            json.writeNumber(node.doubleValue());
        }
    }
}
