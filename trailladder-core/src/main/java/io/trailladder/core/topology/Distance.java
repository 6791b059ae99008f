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
package io.trailladder.core.topology;

/**
 * Classes of distance to a data centre, which differ in latency, in bandwidth and in the price of
 * traffic.
 *
 * @since 0.4
 */
public enum Distance {
    /** The own data centre. */
    SAME_DATA_CENTRE(0.2, 0),
    /** Another data centre of the own region. */
    SAME_REGION(0.5, 1),
    /** A data centre of another region. */
    OTHER_REGION(8, 10);

    private final double oneWayMillis;
    private final double bytePrice;

    Distance(double oneWayMillis, double bytePrice) {
        this.oneWayMillis = oneWayMillis;
        this.bytePrice = bytePrice;
    }

    /**
     * Returns the usual one-way latency of a message.
     *
     * @return an initial estimate, in milliseconds; for another region it assumes cities about
     *     1,000 km apart
     */
    public double oneWayMillis() {
        return oneWayMillis;
    }

    /**
     * Returns the relative price of a byte.
     *
     * @return a multiple of the price between two data centres of a region; public clouds charge
     *     two to ten times as much between regions
     */
    public double bytePrice() {
        return bytePrice;
    }
}
