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
package io.trailladder.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/** The least value of a number now and within the maximum age of a stream before. */
final class TrailingMinimum {
    private final Deque<Value> values = new ArrayDeque<>();

    private record Value(long number, long sinceMillis) {}

    void record(long number, long nowMillis) {
        if (values.isEmpty() || values.getLast().number() != number) {
            values.addLast(new Value(number, nowMillis));
        }
        // the value that was in force at the start of the period stays
        while (values.size() > 1
                && nowMillis - second().sinceMillis() > StreamVersions.MAX_AGE_MILLIS) {
            values.removeFirst();
        }
    }

    private Value second() {
        var oldestFirst = values.iterator();
        oldestFirst.next();
        return oldestFirst.next();
    }

    /** Returns the least value; {@code otherwise} if none was recorded. */
    long least(long otherwise) {
        return values.stream().mapToLong(Value::number).min().orElse(otherwise);
    }
}
