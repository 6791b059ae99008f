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

import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.AttemptFailure;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.entry.loop.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The accepted requests of this process, and what happens to many of them at once. */
final class OpenRequests {
    /** Time without a byte after which a direct connection counts as lost, in milliseconds. */
    private static final long PATH_LOST_SILENCE_MILLIS = 300;

    private final EventLoop loop;
    private final Set<RequestDriver> running = new HashSet<>();

    OpenRequests(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts a request, which is open until it {@linkplain #ended ends}. */
    void start(RequestDriver driver) {
        running.add(driver);
        driver.start();
    }

    void ended(RequestDriver driver) {
        running.remove(driver);
    }

    int size() {
        return running.size();
    }

    /**
     * Moves requests away from an upstream that was lost without notice, if they have received
     * nothing for some time.
     *
     * @param upstream the upstream
     * @param unresponsiveMillis the minimum time without anything received, in milliseconds
     */
    void upstreamLost(Upstream upstream, long unresponsiveMillis) {
        for (RequestDriver driver : List.copyOf(running)) {
            if (driver.isRunningAt(upstream.id())
                    && driver.unresponsiveMillis() >= unresponsiveMillis) {
                driver.moveToOtherUpstream(AttemptFailure.SILENT);
            }
        }
    }

    /**
     * Sends requests again, through peers, that wait for answers on direct connections which this
     * process has lost: none of them has brought a byte for some time. Connections may also live on
     * while no new ones open.
     */
    void pathLost() {
        long lostMillis = loop.nowMillis();
        loop.schedule(PATH_LOST_SILENCE_MILLIS, () -> leaveLostPath(lostMillis));
    }

    private void leaveLostPath(long lostMillis) {
        long unresponsive = loop.nowMillis() - lostMillis;
        boolean lives =
                running.stream().anyMatch(driver -> driver.hasReceivedDirectly(unresponsive));
        if (!lives) {
            List.copyOf(running).forEach(RequestDriver::leaveLostPath);
        }
    }

    /**
     * Moves requests to other upstreams because theirs will end before they do.
     *
     * @param upstream the upstream
     */
    void upstreamEnding(Upstream upstream) {
        for (RequestDriver driver : List.copyOf(running)) {
            if (driver.isRunningAt(upstream.id())) {
                driver.moveToOtherUpstream(AttemptFailure.LEAVING);
            }
        }
    }

    /** Ends all tries of requests that make upstreams end. */
    void stopCrashing(RequestTrait found) {
        List.copyOf(running).forEach(driver -> driver.stopIfMatches(found));
    }

    /** Ends all requests because the process stops. */
    void stopAll() {
        List.copyOf(running).forEach(RequestDriver::stop);
    }
}
