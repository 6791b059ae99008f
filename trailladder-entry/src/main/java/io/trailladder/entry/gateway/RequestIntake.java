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
import io.trailladder.core.pipeline.ServingRequest;
import io.trailladder.core.policy.OrganisationSpec;
import io.trailladder.core.policy.Route;
import io.trailladder.core.policy.ServingPolicy;
import io.trailladder.entry.http.RequestHandler;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.port.CallerRequest;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Accepts or refuses each request, according to the policy in force, the limit of the organisation
 * and the memory of the process.
 *
 * @since 0.2
 */
public final class RequestIntake implements RequestHandler {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /**
     * Retry-After value for lack of policy or upstreams, in milliseconds; the store is read again
     * meanwhile.
     */
    private static final long NO_POLICY_RETRY_AFTER_MILLIS = 500;

    private static final long DEFAULT_WAIT_MILLIS = 60_000;
    private final ServingContext context;
    private final PolicyManager policies;
    private final SplittableRandom random;
    private final Refusals refusals;
    private final StartupRequestQueue<ServerExchange> startupQueue;
    private final LimitGate<PendingRequest> limits;
    private final OpenRequests open;
    private boolean refusing;

    /**
     * Creates an intake.
     *
     * @param context the objects that requests share
     * @param policies the policy in force
     * @param stateKnown whether policy and upstreams are known
     * @param random selects the services of routes that are split
     */
    public RequestIntake(
            ServingContext context,
            PolicyManager policies,
            BooleanSupplier stateKnown,
            SplittableRandom random) {
        this.context = context;
        this.policies = policies;
        this.random = random;
        this.open = new OpenRequests(context.loop());
        this.refusals = new Refusals(context, policies::version);
        this.startupQueue =
                new StartupRequestQueue<>(
                        context.loop()::nowMillis,
                        context.loop()::schedule,
                        stateKnown,
                        new StartOutcome());
        this.limits =
                new LimitGate<>(
                        context.quotas(),
                        context.loop()::nowMillis,
                        (delay, task) -> context.loop().schedule(delay, task)::cancel,
                        new LimitOutcome());
    }

    @Override
    public void handle(ServerExchange exchange) {
        handle(exchange, context.loop().nowMillis());
    }

    /** Handles a request whose deadline counts from when it was received. */
    private void handle(ServerExchange exchange, long receivedMillis) {
        Optional<ServingPolicy> policy = policies.policy();
        if (refusing) {
            refusals.refuseAsStopping(exchange, "");
            return;
        }
        if (!context.memory().hasCapacity(0)) {
            refusals.refuseForMemory(exchange);
            return;
        }
        if (policy.isEmpty() || startupQueue.isStateUnknown()) {
            startupQueue.hold(exchange);
            return;
        }
        Either<String, CallerRequest> read = context.protocol().read(exchange);
        if (read.isLeft()) {
            refusals.refuse(exchange, "", BAD_REQUEST, 0, read.getLeft());
            return;
        }
        admit(exchange, read.get(), policy.get(), receivedMillis);
    }

    @Override
    public boolean answersWithoutBody(ServerExchange exchange) {
        if (context.memory().hasCapacity(exchange.announcedBytes())) {
            return false;
        }
        refusals.refuseForMemory(exchange);
        return true;
    }

    @Override
    public void refuse(ServerExchange exchange, int status) {
        if (status == UNAVAILABLE) {
            context.memory().countRefusedWhileReading();
            refusals.refuseForMemory(exchange);
        } else {
            refusals.refuse(exchange, "", status, 0, "cannot be read");
        }
    }

    /** Returns the requests that were accepted and have not ended. */
    OpenRequests accepted() {
        return open;
    }

    /**
     * Returns the number of requests in flight, including those that wait for units.
     *
     * @return the number of requests
     */
    public int open() {
        return open.size() + limits.size();
    }

    /**
     * Ends all tries of requests that make upstreams end.
     *
     * @param found the whole request, or the part that their prompts share
     */
    void stopCrashing(RequestTrait found) {
        limits.end(
                pending -> pending.identity().has(found),
                pending -> refusals.refuseAsCrashing(pending.exchange(), pending.request().id()));
        open.stopCrashing(found);
    }

    /** Refuses every further request; callers may retry at another process. */
    public void refuseNew() {
        refusing = true;
    }

    /** Ends all requests, including those that wait, because the process stops. */
    public void stopAll() {
        refuseNew();
        startupQueue.refuseAll();
        limits.end(pending -> true, this::refuseAsStopping);
        open.stopAll();
    }

    private void refuseAsStopping(PendingRequest pending) {
        refusals.refuseAsStopping(pending.exchange(), pending.request().id());
    }

    private void admit(
            ServerExchange exchange,
            CallerRequest caller,
            ServingPolicy policy,
            long receivedMillis) {
        Optional<Route> route = policy.route(caller.host(), caller.path());
        if (route.isEmpty()) {
            refusals.refuse(exchange, caller.id(), NOT_FOUND, 0, "no route");
            return;
        }
        boolean needsKey = policy.needsKeys() && !route.get().anonymous();
        Optional<OrganisationSpec> organisation = organisation(policy, caller);
        if (needsKey && organisation.isEmpty()) {
            refusals.refuse(exchange, caller.id(), UNAUTHORIZED, 0, "unknown key");
            return;
        }
        RequestIdentity identity = RequestIdentity.of(exchange, caller);
        if (context.crashes().refuses(caller.id(), identity)) {
            refusals.refuseAsCrashing(exchange, caller.id());
            return;
        }
        int units =
                organisation
                        .map(
                                known ->
                                        Quotas.size(
                                                known.limit(),
                                                caller.prompt().tokensIn(),
                                                caller.prompt().tokensOut()))
                        .orElse(0);
        ServingRequest request =
                request(exchange, caller, policy, route.get(), organisation, receivedMillis);
        limits.enter(
                new PendingRequest(exchange, caller, request, identity, units), request, units);
    }

    private static Optional<OrganisationSpec> organisation(
            ServingPolicy policy, CallerRequest caller) {
        return caller.key().isEmpty() ? Optional.empty() : policy.organisationOfKey(caller.key());
    }

    /**
     * Admits a request under the policy in force, after another one was applied while it waited.
     */
    private void admitAgain(PendingRequest pending) {
        if (pending.exchange().isOver()) {
            return;
        }
        Optional<ServingPolicy> policy = policies.policy();
        if (refusing || policy.isEmpty()) {
            refuseAsStopping(pending);
        } else {
            admit(
                    pending.exchange(),
                    pending.caller(),
                    policy.get(),
                    pending.request().acceptedMillis());
        }
    }

    /** Returns whether the policy in force allows a request of its organisation on its route. */
    private boolean isStillAllowed(PendingRequest pending) {
        if (pending.request().policyVersion() == policies.version()) {
            return true;
        }
        CallerRequest caller = pending.caller();
        return policies.policy()
                .filter(policy -> policy.route(caller.host(), caller.path()).isPresent())
                .map(policy -> organisation(policy, caller).map(OrganisationSpec::name).orElse(""))
                .filter(pending.request().organisation()::equals)
                .isPresent();
    }

    private void startRequest(PendingRequest pending) {
        open.start(
                new RequestDriver(
                        context,
                        pending.exchange(),
                        pending.request(),
                        pending.identity(),
                        pending.units(),
                        pending.caller(),
                        open::ended));
    }

    private ServingRequest request(
            ServerExchange exchange,
            CallerRequest caller,
            ServingPolicy policy,
            Route route,
            Optional<OrganisationSpec> organisation,
            long receivedMillis) {
        long callerWaitMillis = caller.waitMillis() > 0 ? caller.waitMillis() : DEFAULT_WAIT_MILLIS;
        long maxWaitMillis =
                route.timeoutMillis() > 0
                        ? Math.min(callerWaitMillis, route.timeoutMillis())
                        : callerWaitMillis;
        int priority =
                organisation
                        .flatMap(
                                known ->
                                        known.priority().isPresent()
                                                ? Optional.of(known.priority().getAsInt())
                                                : Optional.empty())
                        .orElse(route.priority());
        return new ServingRequest(
                caller.id(),
                organisation.map(OrganisationSpec::name).orElse(""),
                route,
                route.service(random.nextDouble()),
                priority,
                caller.prompt(),
                exchange.body().length,
                receivedMillis,
                receivedMillis + maxWaitMillis,
                policy.version());
    }

    /** Handles requests that leave the limit of their organisation. */
    private final class LimitOutcome implements LimitGate.Listener<PendingRequest> {
        @Override
        public boolean isOver(PendingRequest pending) {
            return pending.exchange().isOver();
        }

        @Override
        public void admitted(PendingRequest pending) {
            if (!isStillAllowed(pending)) {
                limits.giveBack(pending.request(), pending.units());
                admitAgain(pending);
                return;
            }
            refusals.logIntake(pending, "accepted");
            startRequest(pending);
        }

        @Override
        public void overLimit(PendingRequest pending, long retryAfterMillis) {
            refusals.refuseOverLimit(pending, retryAfterMillis);
        }

        @Override
        public void withdrawn(PendingRequest pending) {
            admitAgain(pending);
        }

        @Override
        public void expired(PendingRequest pending) {
            refusals.refuseExpired(pending);
        }
    }

    /** Handles requests that were held while the process started. */
    private final class StartOutcome implements StartupRequestQueue.Outcome<ServerExchange> {
        @Override
        public void accepted(ServerExchange exchange, long sinceMillis) {
            handle(exchange, sinceMillis);
        }

        @Override
        public void refused(ServerExchange exchange) {
            String unknown = policies.version() == 0 ? "policy" : "list of upstreams";
            refusals.refuse(
                    exchange,
                    "",
                    UNAVAILABLE,
                    NO_POLICY_RETRY_AFTER_MILLIS,
                    "no " + unknown + " known");
        }

        @Override
        public boolean isOver(ServerExchange exchange) {
            return exchange.isOver();
        }
    }
}
