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

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/** Creates stand-ins for ports of which a test needs a few methods only. */
final class PortStandIn {
    private PortStandIn() {}

    /**
     * Creates a stand-in.
     *
     * @param port the interface
     * @param handler handles all calls
     */
    static <T> T of(Class<T> port, InvocationHandler handler) {
        return port.cast(
                Proxy.newProxyInstance(port.getClassLoader(), new Class<?>[] {port}, handler));
    }
}
