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
import io.trailladder.core.pipeline.EventSteps;
import io.trailladder.core.upstream.BrittleUpstreams;
import io.trailladder.core.upstream.DemandMeter;
import io.trailladder.core.upstream.PathMonitor;
import io.trailladder.core.upstream.StreamVersions;
import io.trailladder.core.upstream.UpstreamAvailability;
import io.trailladder.core.upstream.UpstreamBackoffs;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.core.upstream.UpstreamLimits;
import io.trailladder.core.upstream.UpstreamLoads;
import io.trailladder.core.upstream.UpstreamSelector;
import io.trailladder.entry.http.HttpConnector;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.port.RequestProtocol;
import java.time.Clock;
import java.util.function.LongSupplier;

/**
 * The objects that all requests of a process share. Used only on the thread of the event loop.
 *
 * @param loop the loop
 * @param clock the time of day
 * @param protocol maps requests to HTTP heads
 * @param connector sends calls to upstreams
 * @param paths tells whether this process reaches the upstreams
 * @param connections the number of idle connections that this process may keep to an upstream
 * @param directory the known upstreams
 * @param availability which upstreams take requests
 * @param backoffs back-offs that upstreams requested
 * @param limits request limits that upstreams announce
 * @param brittle upstreams that bear few refusals
 * @param notices processes what answers report about their upstreams
 * @param loads the load of upstreams
 * @param selector selects the upstream of a request
 * @param streams determines the versions of streams
 * @param streamExchange asks peers where streams began
 * @param streamTelling tells peers where streams begin
 * @param eventSteps how the ids of the events of each service rise
 * @param quotas the limits of organisations
 * @param budgets the retry budgets
 * @param usage counts requests that started to run
 * @param demand measures the demand for services at this process
 * @param engines estimates the speed of upstreams
 * @param rollouts the known roll-outs
 * @param retryAfter estimates when refused callers may retry
 * @param metrics the metrics of the process
 * @param peersAgeMillis supplies the age of the oldest peer digest in use, in milliseconds
 * @param memory keeps the bytes of requests and answers within the memory budget
 * @param crashes detects requests that make upstreams end
 * @since 0.2
 */
public record ServingContext(
        EventLoop loop,
        Clock clock,
        RequestProtocol protocol,
        HttpConnector connector,
        PathMonitor paths,
        ConnectionShares connections,
        UpstreamDirectory directory,
        UpstreamAvailability availability,
        UpstreamBackoffs backoffs,
        UpstreamLimits limits,
        BrittleUpstreams brittle,
        UpstreamNotices notices,
        UpstreamLoads loads,
        UpstreamSelector selector,
        StreamVersions streams,
        StreamExchange streamExchange,
        StreamTelling streamTelling,
        EventSteps eventSteps,
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
