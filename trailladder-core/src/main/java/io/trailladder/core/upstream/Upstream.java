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

/**
 * One running upstream as listed by the platform.
 *
 * @param id its name, which it keeps if it starts again
 * @param service the service that it belongs to
 * @param dataCentre the data centre in which it runs
 * @param address host and port
 * @param slots how many requests it processes at the same time
 * @param draining true if it is known to leave
 * @param reclaimable true if the cloud may take it back
 * @param leavesInMillis how long it still runs once it is draining, in milliseconds; 0 if unknown
 * @param version version of its software; empty if unknown
 * @param coldRemainingMillis how long it remains slow after its start, in milliseconds
 * @param startedMillis when it started, in milliseconds since the epoch; 0 if unknown
 * @since 0.2
 */
public record Upstream(
        String id,
        String service,
        String dataCentre,
        String address,
        int slots,
        boolean draining,
        boolean reclaimable,
        long leavesInMillis,
        String version,
        long coldRemainingMillis,
        long startedMillis) {
    /**
     * Creates an upstream of unknown version and start time.
     *
     * @param id its name
     * @param service the service that it belongs to
     * @param dataCentre the data centre in which it runs
     * @param address host and port
     * @param slots how many requests it processes at the same time
     * @param draining true if it has announced that it leaves
     * @param reclaimable true if the cloud may take it back
     * @param leavesInMillis how long it still runs once it is draining, in milliseconds
     */
    public Upstream(
            String id,
            String service,
            String dataCentre,
            String address,
            int slots,
            boolean draining,
            boolean reclaimable,
            long leavesInMillis) {
        this(
                id,
                service,
                dataCentre,
                address,
                slots,
                draining,
                reclaimable,
                leavesInMillis,
                "",
                0,
                0);
    }

    /**
     * Returns this upstream as a leaving one; that it leaves may be known before its entry states
     * it.
     *
     * @return a copy that is draining; this upstream if it is already
     */
    public Upstream asLeaving() {
        return draining
                ? this
                : new Upstream(
                        id,
                        service,
                        dataCentre,
                        address,
                        slots,
                        true,
                        reclaimable,
                        leavesInMillis,
                        version,
                        coldRemainingMillis,
                        startedMillis);
    }
}
