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
import java.util.List;

/**
 * Reads the fields of a JSON object that others wrote: each has to be there and of its type, or the
 * object as a whole is refused with a message that names the field, its value and the form that was
 * expected.
 *
 * <pre>{@code
 * JsonFields entry = JsonFields.of(JsonTree.read(bytes));
 * int slots = entry.wholeFrom("slots", 1); // "field 'slots' is -3, expected a whole number from 1"
 * }</pre>
 *
 * @since 0.5
 */
public final class JsonFields {
    /** Most characters of a value that are shown. */
    private static final int MAX_SHOWN_CHARS = 60;

    private final JsonNode node;

    /** A field that is missing, or not of its type. */
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
     * Reads the fields of an object.
     *
     * @param node the object
     * @return its fields
     * @throws FieldException if it is no object
     */
    public static JsonFields of(JsonNode node) {
        if (!node.isObject()) {
            throw new FieldException("value is no object, expected fields");
        }
        return new JsonFields(node);
    }

    /**
     * Reads a text.
     *
     * @param name the field's name
     * @return its text, which is not empty
     * @throws FieldException if it has none
     */
    public String text(String name) {
        JsonNode field = node.path(name);
        if (!field.isTextual() || field.textValue().isEmpty()) {
            throw invalid(name, field, "a text");
        }
        return field.textValue();
    }

    /**
     * Reads one of some texts.
     *
     * @param name the field's name
     * @param known the texts that are known
     * @return one of them
     * @throws FieldException if it is another
     */
    public String oneOf(String name, List<String> known) {
        JsonNode field = node.path(name);
        if (!field.isTextual() || !known.contains(field.textValue())) {
            throw invalid(name, field, "one of " + known);
        }
        return field.textValue();
    }

    /**
     * Reads a whole number.
     *
     * @param name the field's name
     * @param least the least that is accepted
     * @return its value
     * @throws FieldException if it is none, or smaller
     */
    public int wholeFrom(String name, int least) {
        JsonNode field = node.path(name);
        if (!field.isInt() || field.intValue() < least) {
            throw invalid(name, field, "a whole number from " + least);
        }
        return field.intValue();
    }

    /**
     * Reads a number that may be left out; fractions are dropped.
     *
     * @param name the field's name
     * @return its value; 0 if it is left out
     * @throws FieldException if it is no number from 0 on
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
     * Reads a text that may be left out.
     *
     * @param name the field's name
     * @return its text; empty if it is left out
     * @throws FieldException if it is no text
     */
    public String textIfAny(String name) {
        return node.path(name).isMissingNode() ? "" : text(name);
    }

    /**
     * Reads a mark that may be left out.
     *
     * @param name the field's name
     * @return false if it is left out
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

    /** Shows a value without its depth: what others wrote may be as large as the store takes. */
    private static String shown(JsonNode field) {
        if (!field.isValueNode()) {
            return field.isArray() ? "a list" : "an object";
        }
        String text = field.isTextual() ? "'" + field.textValue() + "'" : field.asText();
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
