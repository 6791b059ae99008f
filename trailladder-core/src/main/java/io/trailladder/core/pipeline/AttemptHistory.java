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
package io.trailladder.core.pipeline;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of a request so far and their results. At most one attempt is under way at a time;
 * it counts as one that may have run from the moment at which it is sent until its failure is
 * recorded.
 *
 * @since 0.2
 */
public final class AttemptHistory {
    private final Set<String> tried = new HashSet<>();
    private int sent;
    private int connectFailures;
    private boolean inProgress;
    private boolean mayHaveRun;
    private boolean answerStarted;
    private String lastEventId = "";
    private boolean unnamedEvent;

    /**
     * Records an attempt that was sent to an upstream.
     *
     * @param upstream the upstream's name
     */
    public void sent(String upstream) {
        tried.add(upstream);
        sent++;
        inProgress = true;
    }

    /**
     * Records a failed attempt.
     *
     * @param upstream the upstream's name
     * @param failure how it failed
     */
    public void failed(String upstream, AttemptFailure failure) {
        tried.add(upstream);
        inProgress = false;
        mayHaveRun |= failure.mayHaveRun();
        if (failure == AttemptFailure.UNREACHABLE) {
            connectFailures++;
        }
        if (failure == AttemptFailure.MISDIRECTED) {
            sent--;
        }
    }

    /** Records that the head of the answer was sent to the caller. */
    public void answerStarted() {
        answerStarted = true;
    }

    /**
     * Records a complete event that was sent to the caller.
     *
     * @param eventId the event's id; empty if it has none
     */
    public void eventForwarded(String eventId) {
        unnamedEvent = eventId.isEmpty();
        if (!unnamedEvent) {
            lastEventId = eventId;
        }
    }

    /**
     * Returns whether an id names what the caller has of the answer.
     *
     * @return false if events were sent after the last one with an id, which would come twice
     */
    public boolean isResumable() {
        return !unnamedEvent;
    }

    /**
     * Returns the upstreams that were tried.
     *
     * @return their names
     */
    public Set<String> tried() {
        return tried;
    }

    /**
     * Returns how many upstreams the request was sent to.
     *
     * @return a count
     */
    public int sent() {
        return sent;
    }

    /**
     * Returns how many connections could not be made.
     *
     * @return a count
     */
    public int connectFailures() {
        return connectFailures;
    }

    /**
     * Returns whether any attempt may have run, or may be running.
     *
     * @return false only if the request certainly did not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun || inProgress;
    }

    /**
     * Returns whether the head of the answer was sent to the caller.
     *
     * @return true if the status can no longer be chosen
     */
    public boolean hasAnswerStarted() {
        return answerStarted;
    }

    /**
     * Returns the last complete event with an id that was sent to the caller.
     *
     * @return its id; empty if there is none
     */
    public String lastEventId() {
        return lastEventId;
    }
}
