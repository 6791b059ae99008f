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
package io.trailladder.core.membership;

/**
 * One gateway process as the others know it.
 *
 * @param name its name, unlike all others
 * @param dataCentre where it runs
 * @param address host and port where it takes links
 * @param linkMbps bandwidth of its network link, in megabits a second
 * @param cores processor it may use, in cores
 * @since 0.2
 */
public record GatewayMember(
        String name, String dataCentre, String address, double linkMbps, double cores) {
    // written out: the methods that records get are linked at their first call, and that of five
    // fields takes a process that starts some 20 ms of processor time
    @Override
    public boolean equals(Object other) {
        return other instanceof GatewayMember that
                && name.equals(that.name)
                && dataCentre.equals(that.dataCentre)
                && address.equals(that.address)
                && Double.compare(linkMbps, that.linkMbps) == 0
                && Double.compare(cores, that.cores) == 0;
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
