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

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.CoordinationStore;
import io.trailladder.entry.port.StoreBatch;
import io.trailladder.entry.port.StoreFailure;
import io.trailladder.entry.port.StoreItem;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests that keys are followed whatever other writers put beside them. */
class StoreWatcherTest {
    private static final long PATIENCE_SECONDS = 5;
    private static final String ODD = "p/odd";

    private final EventLoop loop = new EventLoop();
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final List<StoreBatch> lists = new ArrayList<>();
    private final List<StoreBatch> watches = new ArrayList<>();
    private int listCalls;

    /** Fails for one key, as a listener with a fault would. */
    private final class FailingListener implements StoreWatcher.Listener {
        @Override
        public void listed(List<StoreItem> items, long revision) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(StoreItem item) {
            if (item.key().equals(ODD)) {
                throw new IllegalStateException("fault of a listener");
            }
            seen.add(item.key() + '@' + item.revision());
        }
    }

    private CoordinationStore store() {
        return PortStandIn.of(
                CoordinationStore.class,
                (proxy, method, arguments) -> {
                    if (method.getName().equals("list")) {
                        listCalls++;
                        answer(lists, arguments[3]);
                    } else if (method.getName().equals("watch")) {
                        answer(watches, arguments[3]);
                        return (Runnable) () -> {};
                    }
                    return null;
                });
    }

    /** Passes on the next answer, the last one again and again for a list. */
    @SuppressWarnings("unchecked")
    private void answer(List<StoreBatch> answers, Object result) {
        if (!answers.isEmpty()) {
            StoreBatch batch = answers.size() == 1 ? answers.get(0) : answers.remove(0);
            if (answers == watches) {
                watches.remove(batch);
            }
            loop.execute(
                    () ->
                            ((Consumer<Either<StoreFailure, StoreBatch>>) result)
                                    .accept(Either.right(batch)));
        }
    }

    private static StoreBatch batch(boolean more, long revision, String... keys) {
        List<StoreItem> items = new ArrayList<>();
        for (String key : keys) {
            items.add(new StoreItem(key, new byte[1], revision, 1, false));
        }
        return new StoreBatch(items, more, revision);
    }

    private void start() throws IOException {
        StoreHealth health = new StoreHealth(new GatewayMetrics());
        StoreWatcher watcher =
                new StoreWatcher(
                        loop,
                        store(),
                        health,
                        new SplittableRandom(1),
                        "p/",
                        0,
                        new FailingListener());
        loop.start();
        loop.execute(watcher::restart);
    }

    @AfterTry
    void stop() throws IOException {
        loop.close();
    }

    private void assertSeen(String key) throws InterruptedException {
        String next = "";
        while (next != null && !next.equals(key)) {
            next = seen.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }
        assertTrue(next != null, key + " was not reported");
    }

    /** Guards against a key whose change ends the following of all others. */
    @Example
    void failingListenerIsCalledWithLaterChanges() throws Exception {
        lists.add(batch(false, 3, "p/a"));
        watches.add(batch(false, 4, ODD, "p/b"));
        watches.add(batch(false, 5, "p/c"));
        start();
        assertSeen("p/b@4");
        assertSeen("p/c@5");
    }

    /** Guards against a key in the list after which no change is followed. */
    @Example
    void changesAreFollowedAfterAListThatFails() throws Exception {
        lists.add(batch(false, 3, ODD));
        watches.add(batch(false, 4, "p/b"));
        start();
        assertSeen("p/b@4");
    }

    /** Guards against a list without an end, which fills the memory. */
    @Example
    void pageThatRepeatsEndsTheList() throws Exception {
        lists.add(batch(true, 3, "p/a"));
        start();
        Thread.sleep(500);
        assertTrue(listCalls < 20, listCalls + " calls");
    }
}
