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
package io.trailladder.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Installs handlers for signals of the operating system. The JDK's signal class is not part of its
 * supported API, so it is looked up by name; without it the JVM's default handling remains.
 */
final class ProcessSignals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private ProcessSignals() {}

    /**
     * Runs a task on a signal, in place of the JVM's default handling.
     *
     * @param name the signal's name without the prefix SIG
     * @param task the task; must not block
     */
    static void on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                task.run();
                                return null;
                            });
            Object instance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, instance, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            Logger.warn(e, "cannot install a handler for signal {}", name);
        }
    }
}
