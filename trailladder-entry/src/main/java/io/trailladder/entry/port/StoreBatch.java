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
package io.trailladder.entry.port;

import java.util.List;

/**
 * A part of a listing, or some changes.
 *
 * @param items the items in order
 * @param more true if the listing continues after the last item
 * @param revision the store's revision from which to continue watching
 * @since 0.2
 */
public record StoreBatch(List<StoreItem> items, boolean more, long revision) {
    /** Copies the items. */
    public StoreBatch {
        items = List.copyOf(items);
    }
}
