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

import io.trailladder.core.duty.UsageLedger;
import io.trailladder.core.engine.EngineModel;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamBackoffs;
import io.trailladder.core.upstream.UpstreamSelector;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.RequestProtocol;
import java.time.Clock;
import java.util.function.LongSupplier;

/**
 * What all requests of a process share. Only the event loop's thread uses it.
 *
 * @param loop the loop
 * @param clock the time of day
 * @param protocol how requests are told in HTTP heads
 * @param connector calls upstreams
 * @param connections how many connections to an upstream this process may let rest
 * @param directory the upstreams known
 * @param availability tells which of them take requests
 * @param backoffs those that asked for rest
 * @param limits those that name how many requests they take
 * @param notices has what answers say of their upstreams believed
 * @param loads the work under way at them
 * @param selector chooses among them
 * @param quotas the organisations' limits
 * @param budgets the budgets of second attempts
 * @param usage counts requests that began to run
 * @param demand measures the load of services here
 * @param engines learns how fast upstreams are
 * @param rollouts the roll-outs known
 * @param retryAfter tells callers when to come back
 * @param metrics the process's figures
 * @param peersAgeMillis tells how old the oldest peer digest in use is, in milliseconds
 * @param memory keeps what requests hold inside the process's memory
 * @param crashes watches for requests that end upstreams
 * @since 0.2
 */
public record ServingContext(
        EventLoop loop,
        Clock clock,
        RequestProtocol protocol,
        HttpConnector connector,
        ConnectionShares connections,
        UpstreamDirectory directory,
        UpstreamAvailability availability,
        UpstreamBackoffs backoffs,
        UpstreamLimits limits,
        UpstreamNotices notices,
        UpstreamLoads loads,
        UpstreamSelector selector,
        Quotas quotas,
        RetryBudgets budgets,
        UsageLedger usage,
        DemandMeter demand,
        EngineModel engines,
        RolloutManager rollouts,
        RetryAfterEstimator retryAfter,
        GatewayMetrics metrics,
        LongSupplier peersAgeMillis,
        MemoryManager memory,
        CrashWatch crashes) {}
