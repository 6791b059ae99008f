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
package io.trailladder.entry.gateway;

import io.trailladder.core.limit.UnitQueue;

/** A process that receives requests for units; tests decide whether it answers. */
final class SilentSupplier implements UnitQueue.Supplier {
    private static final long REPLY_TIMEOUT_MILLIS = 120;

    @Override
    public boolean exists() {
        return true;
    }

    @Override
    public boolean ask(UnitQueue.Demand demand) {
        return true;
    }

    @Override
    public long replyTimeoutMillis() {
        return REPLY_TIMEOUT_MILLIS;
    }

    @Override
    public void unanswered() {}
}
