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
package io.trailladder.core.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;

/** How many upstreams are needed beside some that serve nearly nothing. */
class FleetNeedTest {
    @Example
    void unproductiveUpstreamsAreAddedToTheNeed() {
        FleetNeed need = new FleetNeed(5.5, 3);
        assertEquals(need, need.plusUpstreams(0));
        assertEquals(new FleetNeed(7.5, 5), need.plusUpstreams(2));
    }
}
