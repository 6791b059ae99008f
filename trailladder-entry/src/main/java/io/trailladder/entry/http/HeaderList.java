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
package io.trailladder.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * The header fields of a request or an answer, in order.
 *
 * @since 0.2
 */
public final class HeaderList {
    /** No fields. */
    public static final HeaderList EMPTY = new HeaderList(List.of());

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    /** What names may have besides letters and digits. */
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    private final List<HeaderField> fields;

    /**
     * Creates a list.
     *
     * @param fields the fields
     */
    public HeaderList(List<HeaderField> fields) {
        this.fields = List.copyOf(fields);
    }

    /**
     * Creates a list with one field.
     *
     * @param name its name
     * @param value its value
     * @return the list
     */
    public static HeaderList of(String name, String value) {
        return new HeaderList(List.of(new HeaderField(name, value)));
    }

    static HeaderList of(MimeHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.getName(i).toString();
            fields.add(new HeaderField(name, headers.getValue(i).toString()));
        }
        return new HeaderList(fields);
    }

    /**
     * Returns all fields.
     *
     * @return the fields in order
     */
    public List<HeaderField> fields() {
        return fields;
    }

    /**
     * Finds the first value of a field.
     *
     * @param name the field's name in any case
     * @return the value
     */
    public Optional<String> first(String name) {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether the fields of one name have different values.
     *
     * @param name the field's name in any case
     * @return false if there is none, one, or the same value several times
     */
    public boolean differ(String name) {
        return fields.stream()
                        .filter(field -> field.name().equalsIgnoreCase(name))
                        .map(field -> field.value().trim())
                        .distinct()
                        .count()
                > 1;
    }

    /**
     * Returns whether each name is one that a field may have. Others are parts of lines that were
     * joined.
     *
     * @return false if any name is empty or has a character that names do not have
     */
    public boolean areNamesValid() {
        return fields.stream().allMatch(field -> isName(field.name()));
    }

    private static boolean isName(String name) {
        return !name.isEmpty() && name.chars().allMatch(HeaderList::isNameCharacter);
    }

    private static boolean isNameCharacter(int character) {
        return (character >= '0' && character <= '9')
                || (character >= 'A' && character <= 'Z')
                || (character >= 'a' && character <= 'z')
                || NAME_SYMBOLS.indexOf(character) >= 0;
    }

    /**
     * Counts the fields of one name.
     *
     * @param name the field's name in any case
     * @return a count
     */
    public int count(String name) {
        return (int) fields.stream().filter(f -> f.name().equalsIgnoreCase(name)).count();
    }

    /**
     * Returns the fields to forward: all except the hop-by-hop fields.
     *
     * @return the remaining fields
     */
    public HeaderList endToEnd() {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase("Connection")) {
                for (String named : field.value().split(",", -1)) {
                    dropped.add(named.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return without(dropped);
    }

    /**
     * Returns the fields without those of the given names.
     *
     * @param names names to leave out, in lower case
     * @return the remaining fields
     */
    public HeaderList without(Set<String> names) {
        return new HeaderList(
                fields.stream()
                        .filter(field -> !names.contains(field.name().toLowerCase(Locale.ROOT)))
                        .toList());
    }

    /**
     * Returns the fields with one appended.
     *
     * @param name its name
     * @param value its value
     * @return the extended list
     */
    public HeaderList with(String name, String value) {
        List<HeaderField> extended = new ArrayList<>(fields);
        extended.add(new HeaderField(name, value));
        return new HeaderList(extended);
    }
}
