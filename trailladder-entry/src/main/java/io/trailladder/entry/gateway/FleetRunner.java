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
import io.trailladder.core.duty.WorkerOrder;
import io.trailladder.core.policy.ScalingSpec;
import io.trailladder.core.policy.ServiceSpec;
import io.trailladder.core.worker.Worker;
import io.trailladder.core.worker.WorkerDirectory;
import io.trailladder.entry.gateway.DecisionLog.Duty;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.DutyApi;
import io.trailladder.entry.port.DutyHolder;
import io.trailladder.entry.port.DutyResult;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Orders upstreams while this process leads.
 *
 * <p>An order is given when it differs from the last one, and again when the list of upstreams does
 * not follow it for a while, because an unanswered order may be lost or be carried out late.
 *
 * @since 0.2
 */
public final class FleetRunner {
    private static final long STEP_MILLIS = 250;
    private static final long FIRST_LOOK_MILLIS = 3_500;
    private static final long LEAST_PAUSE_MILLIS = 900;
    private static final long DECLINED_MILLIS = 2_500;
    private static final long SETTLE_MILLIS = 4_000;

    private final EventLoop loop;
    private final DutyApi duties;
    private final DutyRunner leadership;
    private final PolicyKeeper policies;
    private final WorkerDirectory directory;
    private final ToDoubleFunction<String> busy;
    private final GatewayMetrics metrics;
    private final boolean takesOver;
    private final Map<String, FleetPlanner> planners = new HashMap<>();
    private final Map<Subject, Given> given = new HashMap<>();
    private long token;
    private long firstPlanMillis = -1;

    /** What an order is about. */
    private record Subject(String service, String zone, boolean reclaimable) {}

    /** The last order about a subject. */
    private static final class Given {
        private int count = -1;
        private long sentMillis;
        private boolean waiting;
        private boolean accepted;
        private boolean declined;
    }

    /**
     * Creates a runner.
     *
     * @param loop the loop whose thread runs it
     * @param duties the platform's calls
     * @param leadership tells whether this process leads
     * @param policies the policy in force
     * @param directory the upstreams known
     * @param busy tells how many upstreams of a service the load keeps busy; below 0 if not known
     * @param metrics the process's figures
     * @param takesOver true if others may have ordered upstreams before this process started
     */
    public FleetRunner(
            EventLoop loop,
            DutyApi duties,
            DutyRunner leadership,
            PolicyKeeper policies,
            WorkerDirectory directory,
            ToDoubleFunction<String> busy,
            GatewayMetrics metrics,
            boolean takesOver) {
        this.loop = loop;
        this.duties = duties;
        this.leadership = leadership;
        this.policies = policies;
        this.directory = directory;
        this.busy = busy;
        this.metrics = metrics;
        this.takesOver = takesOver;
    }

    /** Begins to order. */
    public void start() {
        loop.repeat(STEP_MILLIS, this::step);
    }

    private void step() {
        if (policies.policy().isEmpty() || directory.all().isEmpty()) {
            return;
        }
        if (firstPlanMillis < 0) {
            firstPlanMillis = loop.nowMillis();
        }
        if (leadership.holder().token() != token) {
            token = leadership.holder().token();
            given.clear();
        }
        for (ServiceSpec service : policies.policy().get().services()) {
            service.scaling().ifPresent(scaling -> plan(service.name(), scaling));
        }
    }

    private void plan(String service, ScalingSpec scaling) {
        List<Worker> workers =
                directory.all().stream().filter(w -> w.service().equals(service)).toList();
        if (workers.isEmpty()) {
            return;
        }
        double load = busy.applyAsDouble(service);
        FleetPlanner planner = planners.computeIfAbsent(service, name -> new FleetPlanner(name, takesOver));
        List<WorkerOrder> orders = planner.plan(scaling, workers, load, loop.nowMillis());
        boolean looked = loop.nowMillis() - firstPlanMillis >= FIRST_LOOK_MILLIS;
        if (!looked || !leadership.leads()) {
            return;
        }
        orders.forEach(order -> give(order, workers, load, scaling.bootMillis() + SETTLE_MILLIS));
    }

    private void give(WorkerOrder order, List<Worker> workers, double load, long settleMillis) {
        Subject subject = new Subject(order.service(), order.zone(), order.reclaimable());
        Given last = given.computeIfAbsent(subject, key -> new Given());
        long since = loop.nowMillis() - last.sentMillis;
        boolean changed = last.count != order.count() || !last.accepted;
        boolean ignored = since >= settleMillis && serving(workers, subject) != order.count();
        long pause = last.declined ? DECLINED_MILLIS : LEAST_PAUSE_MILLIS;
        if (last.waiting || since < pause || !(changed || ignored)) {
            return;
        }
        last.count = order.count();
        last.sentMillis = loop.nowMillis();
        last.waiting = true;
        DutyHolder holder = leadership.holder();
        duties.order(holder, order, result -> answered(holder, order, load, last, result));
    }

    private void answered(
            DutyHolder holder, WorkerOrder order, double load, Given last, DutyResult result) {
        last.waiting = false;
        last.declined = result == DutyResult.DECLINED;
        last.accepted = result == DutyResult.ACCEPTED;
        String kind = order.reclaimable() ? "reclaimable" : "full price";
        DecisionLog.write(
                new Duty(
                        "order",
                        String.format(
                                Locale.ROOT,
                                "%d %s in %s, load %.2f",
                                order.count(),
                                kind,
                                order.zone(),
                                load),
                        holder.token(),
                        result.name()));
        if (result != DutyResult.ACCEPTED) {
            metrics.count(GatewayMetrics.Event.DUTY_FAILURE);
        }
    }

    private static int serving(List<Worker> workers, Subject subject) {
        return (int)
                workers.stream()
                        .filter(worker -> worker.zone().equals(subject.zone()))
                        .filter(worker -> worker.reclaimable() == subject.reclaimable())
                        .filter(worker -> !worker.draining())
                        .count();
    }
}
