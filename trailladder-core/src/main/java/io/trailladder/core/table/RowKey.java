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
package io.trailladder.core.table;

/**
 * The key of one row of the table: an organisation and a target that it may use.
 *
 * @param organisation the organisation's name
 * @param target the model, adapter or service
 * @since 0.1
 */
public record RowKey(String organisation, String target) implements Comparable<RowKey> {
    @Override
    public int compareTo(RowKey other) {
        int byOrganisation = organisation.compareTo(other.organisation);
        return byOrganisation != 0 ? byOrganisation : target.compareTo(other.target);
    }

    @Override
    public String toString() {
        return organisation + "/" + target;
    }
}
