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
 * One running upstream as the platform lists it.
 *
 * @param id its name; it may start again under the same one
 * @param service the service it belongs to
 * @param dataCentre the data centre it runs in
 * @param address host and port
 * @param slots requests it works on at once
 * @param draining true if it is known to leave
 * @param reclaimable true if the cloud may take it back
 * @param leavesInMillis how long it still runs once it is draining, in milliseconds; 0 if not told
 * @param version version of its software; empty if not told
 * @param coldRemainingMillis how long it is still slow after its start, in milliseconds
 * @param startedMillis when it started, in milliseconds of the time of day; 0 if not told
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
     * Creates an upstream that tells neither its version nor when it started.
     *
     * @param id its name
     * @param service the service it belongs to
     * @param dataCentre the data centre it runs in
     * @param address host and port
     * @param slots requests it works on at once
     * @param draining true if it has announced that it leaves
     * @param reclaimable true if the cloud may take it back
     * @param leavesMillis how long it still runs once it is draining, in milliseconds
     */
    public Upstream(
            String id,
            String service,
            String dataCentre,
            String address,
            int slots,
            boolean draining,
            boolean reclaimable,
            long leavesMillis) {
        this(
                id,
                service,
                dataCentre,
                address,
                slots,
                draining,
                reclaimable,
                leavesMillis,
                "",
                0,
                0);
    }

    /**
     * Returns the upstream as one that leaves, which may be known before its entry says so.
     *
     * @return a copy that is draining; this one if it is already
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
