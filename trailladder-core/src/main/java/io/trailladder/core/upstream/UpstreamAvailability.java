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

import java.util.List;
import java.util.Optional;

/**
 * Answers the one question that everything asks which sends to an upstream: does it take requests
 * now? It brings together what its entry, peers, and its own answers say.
 *
 * <p>It is asked twice: when an upstream is chosen, and right before the bytes leave, since what is
 * said in between must count as well.
 *
 * @since 0.5
 */
public final class UpstreamAvailability {
    /** Longest part of its time for which a turn is held: the rest is left to find a taker. */
    static final double MAX_RESERVED_FRACTION = 0.8;

    private final UpstreamDirectory directory;
    private final UpstreamBackoffs backoffs;
    private final UpstreamLimits limits;
    private final UrgencyMeter urgency = new UrgencyMeter();

    /** Whether an upstream takes requests. */
    public enum State {
        /** It takes requests. */
        TAKES_REQUESTS,
        /** It is not listed any more, or has started anew under its name. */
        REMOVED,
        /** It has said that it leaves, in its entry or an answer, here or to a peer. */
        LEAVING,
        /** It has asked this process for rest, which is not over. */
        BACKING_OFF,
        /** It names a limit, and it is not this process's turn. */
        LIMITED
    }

    /**
     * Creates an answer to the question where no upstream names a limit.
     *
     * @param directory the upstreams listed, and which of them leave
     * @param rests those that asked for rest
     */
    public UpstreamAvailability(UpstreamDirectory directory, UpstreamBackoffs rests) {
        this(directory, rests, new UpstreamLimits(() -> 0, upstream -> SendSlotOrder.NO_SHARE));
    }

    /**
     * Creates an answer to the question.
     *
     * @param directory the upstreams listed, and which of them leave
     * @param rests those that asked for rest
     * @param limits those that name how many requests they take
     */
    public UpstreamAvailability(
            UpstreamDirectory directory, UpstreamBackoffs rests, UpstreamLimits limits) {
        this.directory = directory;
        this.backoffs = rests;
        this.limits = limits;
    }

    /**
     * Tells whether an upstream takes requests.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     * @return its state
     */
    public State of(Upstream upstream, long nowMillis) {
        State state = stateIgnoringLimit(upstream, nowMillis);
        boolean limited = state == State.TAKES_REQUESTS && limits.waitMillis(upstream) > 0;
        return limited ? State.LIMITED : state;
    }

    /**
     * Tells whether an upstream takes a request that has taken its turn, if one is needed.
     *
     * @param upstream the upstream
     * @param hasTurn true if a turn is held
     * @param nowMillis the time
     * @return its state
     */
    public State of(Upstream upstream, boolean hasTurn, long nowMillis) {
        State state = stateIgnoringLimit(upstream, nowMillis);
        boolean limited = state == State.TAKES_REQUESTS && !hasTurn && limits.isLimited(upstream);
        return limited ? State.LIMITED : state;
    }

    private State stateIgnoringLimit(Upstream upstream, long nowMillis) {
        if (directory.isLeaving(upstream.id())) {
            return State.LEAVING;
        }
        Optional<Upstream> listed = directory.find(upstream.id());
        if (listed.isEmpty() || listed.get().startedMillis() != upstream.startedMillis()) {
            return State.REMOVED;
        }
        return backoffs.remainingMillis(upstream, nowMillis) > 0 ? State.BACKING_OFF : State.TAKES_REQUESTS;
    }

    /**
     * Returns the upstreams of a service that do not leave, those that rest or are limited too.
     *
     * @param service the service
     * @return the upstreams
     */
    public List<Upstream> notLeaving(String service) {
        return directory.serving(service);
    }

    /**
     * Records that a request has come. Only while there are limits its rank matters.
     *
     * @param service its service
     * @param priority its rank; 0 is the most urgent
     * @param nowMillis the time
     */
    public void requestReceived(String service, int priority, long nowMillis) {
        if (!limits.isEmpty()) {
            urgency.requestReceived(service, priority, nowMillis);
        }
    }

    /**
     * Tells for which part of its time a turn is held for more urgent requests: the more of the
     * turns these need, the longer. What they leave is taken before it lapses.
     *
     * @param service a service
     * @param priority the rank of the request that would take it
     * @param nowMillis the time
     * @return from 0 to {@link #MAX_RESERVED_FRACTION}; 0 while some upstream of the service names no limit
     */
    public double reservedFraction(String service, int priority, long nowMillis) {
        if (limits.isEmpty()) {
            return 0;
        }
        double needed = urgency.moreUrgentPerMilli(service, priority, nowMillis);
        return Math.min(MAX_RESERVED_FRACTION, needed * ownIntervalMillis(service));
    }

    /**
     * Leaves out those that rest, or name a limit whose turn is not this process's.
     *
     * @param upstreams some upstreams
     * @param heldPart part of their time for which turns are held for more urgent requests
     * @param nowMillis the time
     * @return the others
     */
    public List<Upstream> acceptingNow(List<Upstream> upstreams, double heldPart, long nowMillis) {
        if (backoffs.isEmpty() && limits.isEmpty()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream -> waitMillis(upstream, heldPart, nowMillis) == 0)
                .toList();
    }

    private long waitMillis(Upstream upstream, double heldPart, long nowMillis) {
        long rest = backoffs.remainingMillis(upstream, nowMillis);
        return Math.max(rest, limits.waitMillis(upstream, heldPart));
    }

    /**
     * Tells whether others are to be preferred to an upstream that comes back from its rest.
     *
     * @param upstream the upstream
     * @param nowMillis the time
     * @return false for all that have not rested lately
     */
    public boolean isRecovering(Upstream upstream, long nowMillis) {
        return !backoffs.isEmpty() && backoffs.isRecovering(upstream, nowMillis);
    }

    /**
     * Tells whether some upstream of a service takes requests. What runs at one that leaves, or is
     * silent, has nowhere to go on otherwise, and is ended for certain by being taken away.
     *
     * @param service the service
     * @param nowMillis the time
     * @return false if all leave, rest or are limited
     */
    public boolean isAnyAccepting(String service, long nowMillis) {
        return !acceptingNow(directory.serving(service), 0, nowMillis).isEmpty();
    }

    /**
     * Tells how long none of a service's upstreams takes requests because all that stay rest or are
     * limited.
     *
     * @param service the service
     * @param priority the rank of the request; 0 is the most urgent
     * @param nowMillis the time
     * @return milliseconds until the first takes one; 0 if one does now, or none stays
     */
    public long untilAnyAcceptsMillis(String service, int priority, long nowMillis) {
        if (backoffs.isEmpty() && limits.isEmpty()) {
            return 0;
        }
        double heldPart = reservedFraction(service, priority, nowMillis);
        return directory.serving(service).stream()
                .mapToLong(upstream -> waitMillis(upstream, heldPart, nowMillis))
                .filter(millis -> millis < Long.MAX_VALUE)
                .min()
                .orElse(0);
    }

    /**
     * Tells how often this process may send requests to a service whose upstreams are all limited.
     *
     * @param service the service
     * @return milliseconds between two requests; 0 if some upstream names no limit
     */
    public double ownIntervalMillis(String service) {
        double perMilli = 0;
        for (Upstream upstream : directory.serving(service)) {
            perMilli += 1 / limits.ownIntervalMillis(upstream);
        }
        return perMilli > 0 ? 1 / perMilli : 0;
    }
}
