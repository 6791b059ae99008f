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

import io.trailladder.core.duty.FleetPlanner;
import io.trailladder.core.duty.RegistrationWatch;
import io.trailladder.core.duty.UpstreamOrder;
import io.trailladder.core.engine.EngineEstimate;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.engine.FleetNeed;
import io.trailladder.core.engine.FleetSizer;
import io.trailladder.core.engine.ServiceLoad;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.policy.ServiceSpec;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.DutyApi;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Plans the number of upstreams of each service and orders them while this process leads.
 *
 * <p>An order is sent when it differs from the last one, and again when the list of upstreams does
 * not match it after a while, because an unanswered order may be lost or be carried out late.
 *
 * @since 0.2
 */
public final class FleetRunner {
    /**
     * Planning interval, in milliseconds: well below the notice of 2 s before an instance is
     * reclaimed.
     */
    private static final long STEP_INTERVAL_MILLIS = 250;

    /** Time constant of the smoothing of requests under way, in milliseconds: as long as a boot. */
    private static final double SMOOTHING_TIME_MILLIS = 4_000;

    /** Latency objective of a service whose routes name none, in milliseconds. */
    private static final long DEFAULT_OBJECTIVE_MILLIS = 1_000;

    private final EventLoop loop;
    private final DutyRunner leadership;
    private final PolicyManager policies;
    private final UpstreamDirectory directory;
    private final LoadSource loads;
    private final UpstreamLimits limits;
    private final EngineModel engines;
    private final Predicate<String> isMoving;
    private final BooleanSupplier mayLead;
    private final boolean mayHavePredecessor;
    private boolean hasFollowed;
    private final Map<String, Fleet> fleets = new HashMap<>();
    private final OrderDispatcher dispatcher;

    /** Supplies the load of a service. */
    public interface LoadSource {
        /**
         * Returns the current load.
         *
         * @param service the service
         * @param upstreams its upstreams, including leaving ones
         * @return the load summed over all processes
         */
        ServiceLoad load(String service, Collection<Upstream> upstreams);
    }

    /** State of the planning for one service. */
    private static final class Fleet {
        private final FleetPlanner planner;
        private final RegistrationWatch registrations = new RegistrationWatch();
        private double running = -1;

        Fleet(FleetPlanner planner) {
            this.planner = planner;
        }

        /** Smooths the number of requests under way, which varies with each long answer. */
        ServiceLoad smooth(ServiceLoad load) {
            double weight = 1 - StrictMath.exp(-STEP_INTERVAL_MILLIS / SMOOTHING_TIME_MILLIS);
            running = running < 0 ? load.running() : running + weight * (load.running() - running);
            return new ServiceLoad(load.tokensPerMilli(), load.squaredTokensPerMilli(), running);
        }
    }

    /**
     * Creates a runner.
     *
     * @param loop the event loop that runs it
     * @param duties the platform's duty calls
     * @param leadership whether this process leads
     * @param policies supplies the policy in force
     * @param directory the known upstreams
     * @param loads supplies the load of a service
     * @param limits which upstreams limit their requests; their slots do not count as capacity
     * @param engines estimates the speed of a service's upstreams
     * @param metrics the process's metrics
     * @param isMoving whether the traffic of a service is being moved to another version: both
     *     versions serve then, so that the count of upstreams is no measure, and none are ordered
     * @param mayLead false while this process is not a candidate for the leader: it plans nothing
     *     then, as planning takes a sixth of the processor time of an idle process
     * @param mayHavePredecessor true if others may have ordered upstreams before this process
     *     started
     */
    public FleetRunner(
            EventLoop loop,
            DutyApi duties,
            DutyRunner leadership,
            PolicyManager policies,
            UpstreamDirectory directory,
            LoadSource loads,
            UpstreamLimits limits,
            EngineModel engines,
            GatewayMetrics metrics,
            Predicate<String> isMoving,
            BooleanSupplier mayLead,
            boolean mayHavePredecessor) {
        this.loop = loop;
        this.dispatcher = new OrderDispatcher(loop, duties, metrics);
        this.leadership = leadership;
        this.policies = policies;
        this.directory = directory;
        this.loads = loads;
        this.limits = limits;
        this.engines = engines;
        this.isMoving = isMoving;
        this.mayLead = mayLead;
        this.mayHavePredecessor = mayHavePredecessor;
    }

    /** Starts planning and ordering. */
    public void start() {
        loop.repeat(STEP_INTERVAL_MILLIS, this::step);
    }

    private void step() {
        if (!mayLead.getAsBoolean()) {
            hasFollowed = true;
            fleets.clear();
            return;
        }
        if (policies.policy().isEmpty() || directory.all().isEmpty()) {
            return;
        }
        dispatcher.setHolder(leadership.holder());
        for (ServiceSpec service : policies.policy().get().services()) {
            service.scaling().ifPresent(scaling -> plan(service, scaling));
        }
    }

    private void plan(ServiceSpec spec, ScalingSpec scaling) {
        String service = spec.name();
        List<Upstream> upstreams =
                directory.all().stream()
                        .filter(upstream -> upstream.service().equals(service))
                        .toList();
        if (upstreams.isEmpty() || isMoving.test(service)) {
            return;
        }
        Fleet fleet =
                fleets.computeIfAbsent(
                        service,
                        name ->
                                new Fleet(
                                        new FleetPlanner(name, mayHavePredecessor || hasFollowed)));
        ServiceLoad load = fleet.smooth(loads.load(service, upstreams));
        Optional<FleetNeed> need = need(service, load, upstreams);
        boolean settled = fleet.registrations.isSettled(upstreams, loop.nowMillis());
        Set<String> declined = dispatcher.declined(service);
        List<UpstreamOrder> orders =
                fleet.planner.plan(scaling, upstreams, need, declined, loop.nowMillis());
        if (!settled || !leadership.leads()) {
            return;
        }
        Supplier<String> reason = () -> reason(upstreams, load, need, declined);
        boolean protectsBooting = need.isPresent();
        orders.forEach(
                order ->
                        dispatcher.submit(
                                order, upstreams, scaling.bootMillis(), protectsBooting, reason));
    }

    private Optional<FleetNeed> need(String service, ServiceLoad load, List<Upstream> upstreams) {
        EngineEstimate engine = engines.estimate(service, loop.nowMillis());
        if (!load.isSignificant() || !engine.isLearned()) {
            return Optional.empty();
        }
        int slots = upstreams.stream().mapToInt(Upstream::slots).min().orElse(1);
        List<Upstream> serving =
                upstreams.stream().filter(upstream -> !upstream.draining()).toList();
        int slotsInService =
                serving.stream()
                        .filter(upstream -> !limits.isLimited(upstream))
                        .mapToInt(Upstream::slots)
                        .sum();
        ServiceLoad served = load.withBacklog(slotsInService, engine.runMillis());
        FleetNeed need = FleetSizer.need(served, engine, slots, objectiveMillis(service));
        return Optional.of(need.plusUpstreams(limits.count(serving)));
    }

    /** Returns the tightest objective of the routes that lead to a service, in milliseconds. */
    private double objectiveMillis(String service) {
        return policies.policy().orElseThrow().routes().stream()
                .filter(route -> route.routesTo(service) && route.objectiveMillis() > 0)
                .mapToLong(Route::objectiveMillis)
                .min()
                .orElse(DEFAULT_OBJECTIVE_MILLIS);
    }

    /**
     * Describes what an order is based on: the serving upstreams, the need with its bounds, the
     * load.
     */
    private String reason(
            List<Upstream> upstreams,
            ServiceLoad load,
            Optional<FleetNeed> need,
            Set<String> declined) {
        long reclaimable =
                upstreams.stream()
                        .filter(upstream -> upstream.reclaimable() && !upstream.draining())
                        .count();
        long full =
                upstreams.stream()
                        .filter(upstream -> !upstream.reclaimable() && !upstream.draining())
                        .count();
        String fleet =
                "serving "
                        + reclaimable
                        + " reclaimable and "
                        + full
                        + " at full price, declined in "
                        + declined;
        if (need.isEmpty()) {
            return "no load known, " + fleet;
        }
        EngineEstimate engine = engines.estimate(upstreams.get(0).service(), loop.nowMillis());
        return String.format(
                Locale.ROOT,
                "%s, %s, %.1f requests under way, %.1f tokens/ms to read at %.4f ms each, %.0f seen",
                need.get(),
                fleet,
                load.running(),
                load.tokensPerMilli(),
                engine.millisPerToken(),
                engine.observations());
    }
}
