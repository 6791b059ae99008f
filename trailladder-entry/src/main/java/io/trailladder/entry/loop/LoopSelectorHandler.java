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
package io.trailladder.entry.loop;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Runs the event loop's tasks on Grizzly's selector thread, and limits its sleep to the time until
 * the next timer.
 */
final class LoopSelectorHandler extends DefaultSelectorHandler {
    private final EventLoop loop;

    LoopSelectorHandler(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public boolean preSelect(SelectorRunner runner) throws IOException {
        loop.runTasks(runner.getSelector());
        return super.preSelect(runner);
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        Selector selector = runner.getSelector();
        long sleepMillis = loop.sleepMillis();
        if (sleepMillis <= 0 || !runner.getPostponedTasks().isEmpty()) {
            selector.selectNow();
        } else {
            selector.select(sleepMillis);
        }
        return selector.selectedKeys();
    }
}
