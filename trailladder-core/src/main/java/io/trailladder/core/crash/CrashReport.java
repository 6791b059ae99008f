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
package io.trailladder.core.crash;

import java.util.List;

/**
 * What one process reports to another about a request under which upstreams ended.
 *
 * @param request the request
 * @param clearedMillis when it last turned out, or was declared, to be harmless, in milliseconds;
 *     earlier ends do not count; {@link #NEVER} if it was not
 * @param ends the recorded ends, including those before that time, at most {@link
 *     CrashHistory#MAX_ENDS}
 * @since 0.6
 */
public record CrashReport(RequestTrait request, long clearedMillis, List<UpstreamEnd> ends) {
    /** Value of {@link #clearedMillis} of a request that was never cleared. */
    public static final long NEVER = Long.MIN_VALUE;

    /** Copies the ends into an unmodifiable list. */
    public CrashReport {
        ends = List.copyOf(ends);
    }
}
