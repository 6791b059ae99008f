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
package io.trailladder.bench;

import com.dynatrace.hash4j.hashing.Hashing;
import io.trailladder.core.claim.Claim;
import io.trailladder.core.claim.ClaimKey;
import io.trailladder.core.claim.ClaimRegistry;
import io.trailladder.core.claim.RangeAssignment;
import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.limit.RateLimiter;
import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.LocalUpstreamDirectory;
import io.trailladder.core.routing.LoadReport;
import io.trailladder.core.routing.PromptBlocks;
import io.trailladder.core.routing.Router;
import io.trailladder.core.routing.RoutingDecision;
import io.trailladder.core.routing.RoutingQuery;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.RowKey;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TableChange;
import io.trailladder.core.table.TargetKind;
import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures what decisions cost at growing sizes.
 *
 * <p>Run with {@code java -cp ... org.openjdk.jmh.Main CoreSlopes -prof gc}.
 *
 * @since 0.1
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 300, timeUnit = TimeUnit.MILLISECONDS)
public class CoreSlopes {
    private static final int PROMPTS = 512;

    /** A router over many upstreams. */
    @State(Scope.Thread)
    public static class Routing {
        /** Upstreams of the data centre. */
        @Param({"9", "90", "825", "6600"})
        public int upstreamCount;

        private final LocalUpstreamDirectory directory = new LocalUpstreamDirectory();
        private final List<RoutingQuery> queries = new ArrayList<>();
        private Router router;
        private int next;

        /** Lists the upstreams and makes the prompts. */
        @Setup
        public void list() {
            List<LocalUpstream> upstreams = new ArrayList<>();
            for (int i = 0; i < upstreamCount; i++) {
                upstreams.add(new LocalUpstream("w" + i, "baires-a", "127.0.0.1:1", "modelo-hipo"));
            }
            directory.listed(upstreams, List.of());
            router = new Router("baires-a", directory, 20261202);
            for (int i = 0; i < PROMPTS; i++) {
                String prompt = ("expediente " + i % 64 + ' ').repeat(300) + i;
                PromptBlocks blocks = PromptBlocks.of("banco-sur", "modelo-hipo", prompt);
                queries.add(new RoutingQuery("modelo-hipo", blocks, 370, Set.of()));
            }
        }

        RoutingQuery query() {
            return queries.get(next++ % PROMPTS);
        }
    }

    /** A table of many rows. */
    @State(Scope.Thread)
    public static class Rows {
        /** Rows of the table. */
        @Param({"5", "500", "5000"})
        public int rows;

        private Table table;

        /** Makes the table. */
        @Setup
        public void make() {
            List<Row> all = new ArrayList<>();
            for (int i = 0; i < rows; i++) {
                all.add(row(i, 1));
            }
            table = Table.of(1, "c1", all);
        }
    }

    /** An owner without backup. */
    @State(Scope.Thread)
    public static class Claims {
        private ClaimRegistry registry;
        private long next;

        /** Gives all ranges to this entry. */
        @Setup
        public void own() {
            registry = new ClaimRegistry("e1", 64, Integer.MAX_VALUE, Long.MAX_VALUE / 4);
            RangeAssignment mine = new RangeAssignment(1, "e1", "", 0);
            registry.updateMap(new RangeMap(Collections.nCopies(64, mine)), 1);
        }
    }

    /** Decides one request and gives the upstream back. */
    @Benchmark
    public RoutingDecision decision(Routing state) {
        RoutingQuery query = state.query();
        RoutingDecision decision = state.router.choose(query, 0);
        state.router.sent(query, decision.chosen().orElseThrow(), 0);
        state.router.load(decision.chosen().get()).ended();
        state.router.load(decision.chosen().get()).reported(LoadReport.UNKNOWN, 0);
        return decision;
    }

    /** Takes a notice of a leaving upstream and rebuilds what depends on the list. */
    @Benchmark
    public boolean membershipEvent(Routing state) {
        state.directory.leavingNoticed("other-" + state.next++);
        return state.router.serves("modelo-hipo");
    }

    /** Applies one change to the table. */
    @Benchmark
    public Table tableDelta(Rows state) {
        TableChange change = new TableChange(2, "c2", "c1", "ana", List.of(row(0, 2)), List.of());
        return state.table.apply(change);
    }

    /** Finds the row of a request. */
    @Benchmark
    public Optional<Row> rowLookUp(Rows state) {
        return state.table.row(new RowKey("org-" + state.rows / 2, "modelo-hipo"));
    }

    /** Grants one claim. */
    @Benchmark
    public Object claim(Claims state) {
        long number = state.next++;
        ClaimKey key = new ClaimKey(number, Hashing.xxh3_64().hashLongLongToLong(number, 1));
        Object actions = state.registry.request(new Claim(key, 1, "e1", "r", 1L << 40), 2);
        state.registry.release(key, "r");
        return actions;
    }

    /** Checks one limit. */
    @Benchmark
    public long limitCheck(Limits state) {
        return state.limiter.tryAcquire(state.now++);
    }

    /** A limiter. */
    @State(Scope.Thread)
    public static class Limits {
        private final RateLimiter limiter = new RateLimiter(1000, 0);
        private long now;
    }

    /** Writes and reads one token's frame between two entries. */
    @Benchmark
    public PeerMessage tokenFrame() {
        byte[] frame = PeerCodec.encode(new PeerMessage.AnswerBody(1, 2, new byte[180]));
        return PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
    }

    private static Row row(int number, int weight) {
        String hash = String.format(Locale.ROOT, "%064x", number);
        return new Row(
                "org-" + number,
                "modelo-hipo",
                TargetKind.MODEL,
                List.of("baires-a", "baires-b"),
                weight,
                0,
                1200,
                true,
                hash);
    }
}
