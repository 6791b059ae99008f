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
package io.trailladder.entry.serve;

import io.trailladder.entry.EntryMetrics;
import io.trailladder.entry.EntrySettings;
import io.trailladder.entry.peer.Peers;
import io.trailladder.platform.http.HttpClient;
import io.trailladder.wire.EntryInfo;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The dependencies shared by all serving code.
 *
 * @param self this entry
 * @param settings its settings
 * @param placements assigns upstreams to requests
 * @param engines calls model engines
 * @param client calls plain services
 * @param links sends messages to peers
 * @param timer runs delayed tasks
 * @param metrics records the metrics of this entry
 * @param policies provides rows, rate limits and retry budgets
 * @since 0.1
 */
public record ServingContext(
        EntryInfo self,
        EntrySettings settings,
        Placements placements,
        EngineApi engines,
        HttpClient client,
        Peers links,
        ScheduledExecutorService timer,
        EntryMetrics metrics,
        RowPolicies policies) {}
