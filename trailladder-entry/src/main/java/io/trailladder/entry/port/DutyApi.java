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

import io.trailladder.core.duty.UpstreamOrder;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Calls to the platform that only one entry at a time may make. All calls return at once; results
 * come on the event loop's thread.
 *
 * @since 0.2
 */
public interface DutyApi {
    /**
     * Reports how many requests started to run in one window.
     *
     * @param holder the entry that reports
     * @param window the window's number
     * @param counts number of requests by organisation
     * @param result receives the answer
     */
    void reportUsage(
            DutyHolder holder,
            long window,
            Map<String, Integer> counts,
            Consumer<DutyResult> result);

    /**
     * Orders upstreams.
     *
     * @param holder the entry that orders
     * @param order the upstreams to order
     * @param result receives the answer
     */
    void order(DutyHolder holder, UpstreamOrder order, Consumer<DutyResult> result);
}
