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
 * Determines whether an upstream accepts requests now, for all classes that send requests. Combines
 * what the upstream's entry, peers, and its own answers report.
 *
 * <p>Senders check twice: when an upstream is chosen, and immediately before the request is sent,
 * because reports received in between must be respected too.
 *
 * @since 0.5
 */
public final class UpstreamAvailability {
    /**
     * Maximum fraction of a slot's validity during which it is reserved; in the remainder, any
     * request may use it.
     */
    static final double MAX_RESERVED_FRACTION = 0.8;

    private final UpstreamDirectory directory;
    private final UpstreamBackoffs backoffs;
    private final UpstreamLimits limits;
    private final BrittleUpstreams brittle;
    private final UrgencyMeter urgency = new UrgencyMeter();

    /** Whether an upstream accepts requests. */
    public enum State {
        /** It accepts requests. */
        TAKES_REQUESTS,
        /** It is no longer listed, or a new incarnation runs under its name. */
        REMOVED,
        /**
         * It has announced that it leaves, in its entry or an answer, to this process or a peer.
         */
        LEAVING,
        /** It has requested a back-off from this process, which is not over. */
        BACKING_OFF,
        /** It names a limit, and this process has no send slot now. */
        LIMITED
    }

    /**
     * Creates an instance for upstreams that name no limits.
     *
     * @param directory the listed upstreams, and which of them leave
     * @param backoffs the upstreams that requested a back-off
     */
    public UpstreamAvailability(UpstreamDirectory directory, UpstreamBackoffs backoffs) {
        this(directory, backoffs, new UpstreamLimits(() -> 0, upstream -> SendSlotOrder.NO_SHARE));
    }

    /**
     * Creates an instance.
     *
     * @param directory the listed upstreams, and which of them leave
     * @param backoffs the upstreams that requested a back-off
     * @param limits the upstreams that name a limit of requests
     */
    public UpstreamAvailability(
            UpstreamDirectory directory, UpstreamBackoffs backoffs, UpstreamLimits limits) {
        this(directory, backoffs, limits, BrittleUpstreams.none());
    }

    /**
     * Creates an instance.
     *
     * @param directory the listed upstreams, and which of them leave
     * @param backoffs the upstreams that requested a back-off
     * @param limits the upstreams that name a limit of requests
     * @param brittle the upstreams that bear few refusals
     */
    public UpstreamAvailability(
            UpstreamDirectory directory,
            UpstreamBackoffs backoffs,
            UpstreamLimits limits,
            BrittleUpstreams brittle) {
        this.brittle = brittle;
        this.directory = directory;
        this.backoffs = backoffs;
        this.limits = limits;
    }

    /**
     * Returns whether an upstream accepts requests.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     * @return its state
     */
    public State of(Upstream upstream, long nowMillis) {
        State state = stateIgnoringLimit(upstream, nowMillis);
        boolean limited = state == State.TAKES_REQUESTS && limits.waitMillis(upstream) > 0;
        return limited ? State.LIMITED : state;
    }

    /**
     * Returns whether an upstream accepts a request that may have taken a send slot.
     *
     * @param upstream the upstream
     * @param hasSlot true if the request has taken a send slot
     * @param nowMillis the current time, in milliseconds
     * @return its state
     */
    public State of(Upstream upstream, boolean hasSlot, long nowMillis) {
        State state = stateIgnoringLimit(upstream, nowMillis);
        boolean limited = state == State.TAKES_REQUESTS && !hasSlot && limits.isLimited(upstream);
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
        return backoffs.remainingMillis(upstream, nowMillis) > 0
                ? State.BACKING_OFF
                : State.TAKES_REQUESTS;
    }

    /**
     * Returns the upstreams of a service that do not leave, including those that are backing off or
     * limited.
     *
     * @param service the service
     * @return the upstreams
     */
    public List<Upstream> notLeaving(String service) {
        return directory.serving(service);
    }

    /**
     * Records that a request was received. Its priority matters only while upstreams name limits.
     *
     * @param service its service
     * @param priority its priority; 0 is the most urgent
     * @param nowMillis the current time, in milliseconds
     */
    public void requestReceived(String service, int priority, long nowMillis) {
        if (!limits.isEmpty()) {
            urgency.requestReceived(service, priority, nowMillis);
        }
    }

    /**
     * Returns the fraction of a send slot's validity during which it is reserved for more urgent
     * requests. The fraction grows with the share of the slots that these need; in the remainder,
     * any request may use a slot before it expires.
     *
     * @param service a service
     * @param priority the priority of the request that would use the slot
     * @param nowMillis the current time, in milliseconds
     * @return from 0 to {@link #MAX_RESERVED_FRACTION}; 0 while some upstream of the service names
     *     no limit
     */
    public double reservedFraction(String service, int priority, long nowMillis) {
        if (limits.isEmpty()) {
            return 0;
        }
        double urgentPerMilli = urgency.moreUrgentPerMilli(service, priority, nowMillis);
        return Math.min(MAX_RESERVED_FRACTION, urgentPerMilli * ownIntervalMillis(service));
    }

    /**
     * Filters out upstreams that are backing off, or for whose limit this process has no send slot
     * now.
     *
     * @param upstreams some upstreams
     * @param reservedFraction fraction of their validity during which slots are reserved for more
     *     urgent requests
     * @param nowMillis the current time, in milliseconds
     * @return the other upstreams
     */
    public List<Upstream> acceptingNow(
            List<Upstream> upstreams, double reservedFraction, long nowMillis) {
        if (takesAll()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream -> waitMillis(upstream, reservedFraction, nowMillis) == 0)
                .toList();
    }

    private long waitMillis(Upstream upstream, double reservedFraction, long nowMillis) {
        long backoffMillis = backoffs.remainingMillis(upstream, nowMillis);
        long limitMillis = limits.waitMillis(upstream, reservedFraction);
        return Math.max(brittle.waitMillis(upstream), Math.max(backoffMillis, limitMillis));
    }

    /** Returns whether no upstream has announced anything that keeps requests from it. */
    private boolean takesAll() {
        return backoffs.isEmpty() && limits.isEmpty() && brittle.isEmpty();
    }

    /**
     * Returns whether other upstreams are preferred to one that recovers from a back-off.
     *
     * @param upstream the upstream
     * @param nowMillis the current time, in milliseconds
     * @return false for an upstream without a recent back-off
     */
    public boolean isRecovering(Upstream upstream, long nowMillis) {
        return !backoffs.isEmpty() && backoffs.isRecovering(upstream, nowMillis);
    }

    /**
     * Returns whether some upstream of a service accepts requests. Otherwise, work at an upstream
     * that leaves or does not respond cannot continue elsewhere, and moving it away would only end
     * it.
     *
     * @param service the service
     * @param nowMillis the current time, in milliseconds
     * @return false if all upstreams leave, are backing off or are limited
     */
    public boolean isAnyAccepting(String service, long nowMillis) {
        return !acceptingNow(directory.serving(service), 0, nowMillis).isEmpty();
    }

    /**
     * Returns for how long no upstream of a service accepts requests because all that do not leave
     * are backing off or limited.
     *
     * @param service the service
     * @param priority the priority of the request; 0 is the most urgent
     * @param nowMillis the current time, in milliseconds
     * @return milliseconds until the first accepts one; 0 if one does now, all leave, or this
     *     process has no share of any of their limits
     */
    public long untilAnyAcceptsMillis(String service, int priority, long nowMillis) {
        if (takesAll()) {
            return 0;
        }
        double reservedFraction = reservedFraction(service, priority, nowMillis);
        return directory.serving(service).stream()
                .mapToLong(upstream -> waitMillis(upstream, reservedFraction, nowMillis))
                .filter(millis -> millis < Long.MAX_VALUE)
                .min()
                .orElse(0);
    }

    /**
     * Returns the interval at which this process may send requests to a service whose upstreams are
     * all limited.
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
