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

import com.fasterxml.jackson.databind.JsonNode;
import io.trailladder.core.TrailladderException;
import io.trailladder.platform.ShortText;
import java.util.List;

/**
 * Reads and validates the fields of a JSON object from another process. A field that is missing or
 * has the wrong type is rejected with a message that names the field, its value and the expected
 * form.
 *
 * <pre>{@code
 * JsonFields entry = JsonFields.of(JsonTree.read(bytes));
 * int slots = entry.wholeFrom("slots", 1); // "field 'slots' is -3, expected a whole number from 1"
 * }</pre>
 *
 * @since 0.5
 */
public final class JsonFields {
    /** Maximum length of a value in a message, in characters. */
    private static final int MAX_SHOWN_CHARS = 60;

    /** Maximum length of a text, in characters; texts name things and are passed on to peers. */
    private static final int MAX_TEXT_CHARS = 256;

    private final JsonNode node;

    /** Thrown for a field that is missing or has the wrong type. */
    public static final class FieldException extends TrailladderException {
        private static final long serialVersionUID = 1;

        FieldException(String message) {
            super(message);
        }
    }

    private JsonFields(JsonNode node) {
        this.node = node;
    }

    /**
     * Returns a reader for the fields of an object.
     *
     * @param node the object
     * @return its fields
     * @throws FieldException if the node is not an object
     */
    public static JsonFields of(JsonNode node) {
        if (!node.isObject()) {
            throw new FieldException("value is not an object, expected a JSON object");
        }
        return new JsonFields(node);
    }

    /**
     * Reads a required text.
     *
     * @param name the name of the field
     * @return the text, which is not empty
     * @throws FieldException if the field is missing, empty, longer than 256 characters, or not a
     *     text
     */
    public String text(String name) {
        JsonNode field = node.path(name);
        if (!field.isTextual()
                || field.textValue().isEmpty()
                || field.textValue().length() > MAX_TEXT_CHARS) {
            throw invalid(name, field, "a text of 1 to " + MAX_TEXT_CHARS + " characters");
        }
        return field.textValue();
    }

    /**
     * Reads a required text that must be one of the given values.
     *
     * @param name the name of the field
     * @param known the accepted values
     * @return one of them
     * @throws FieldException if the field is missing or has another value
     */
    public String oneOf(String name, List<String> known) {
        JsonNode field = node.path(name);
        if (!field.isTextual() || !known.contains(field.textValue())) {
            throw invalid(name, field, "one of " + known);
        }
        return field.textValue();
    }

    /**
     * Reads a required whole number.
     *
     * @param name the name of the field
     * @param min the minimum, inclusive
     * @return the value
     * @throws FieldException if the field is missing, not an {@code int}, or less than the minimum
     */
    public int wholeFrom(String name, int min) {
        JsonNode field = node.path(name);
        if (!field.isInt() || field.intValue() < min) {
            throw invalid(name, field, "a whole number from " + min);
        }
        return field.intValue();
    }

    /**
     * Reads an optional number and drops its fraction.
     *
     * @param name the name of the field
     * @return the value; 0 if the field is missing
     * @throws FieldException if it is not a number, negative, or too large for a {@code long}
     */
    public long numberIfAny(String name) {
        JsonNode field = node.path(name);
        if (field.isMissingNode()) {
            return 0;
        }
        if (!field.isNumber() || !(field.doubleValue() >= 0) || !field.canConvertToLong()) {
            throw invalid(name, field, "a number from 0");
        }
        return field.longValue();
    }

    /**
     * Reads an optional text.
     *
     * @param name the name of the field
     * @return the text; empty if the field is missing
     * @throws FieldException if the field is present, but empty, too long or not a text
     */
    public String textIfAny(String name) {
        return node.path(name).isMissingNode() ? "" : text(name);
    }

    /**
     * Reads an optional boolean.
     *
     * @param name the name of the field
     * @return the value; false if the field is missing
     * @throws FieldException if it is neither true nor false
     */
    public boolean flagIfAny(String name) {
        JsonNode field = node.path(name);
        if (!field.isMissingNode() && !field.isBoolean()) {
            throw invalid(name, field, "true or false");
        }
        return field.booleanValue();
    }

    private static FieldException invalid(String name, JsonNode field, String expected) {
        String found = field.isMissingNode() ? "missing" : shown(field);
        return new FieldException("field '" + name + "' is " + found + ", expected " + expected);
    }

    /**
     * Formats a value for a message, without nested content: it may be as large as the store
     * accepts.
     *
     * @param field the value
     * @return a short text
     */
    public static String shown(JsonNode field) {
        if (!field.isValueNode()) {
            return field.isArray() ? "a list" : "an object";
        }
        String text = field.isTextual() ? "'" + field.textValue() + "'" : field.asText();
        return ShortText.of(text, MAX_SHOWN_CHARS);
    }
}
