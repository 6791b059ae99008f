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

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.entry.gateway.SimulatedRetries.Kill;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests the budget of retries that all processes share while processes, links and the store fail:
 * whatever happens, no window contains more retries than it allows.
 */
class RetryHistoriesTest {
    private static final int DATA_CENTRES = 3;
    private static final int[] PROCESSES_PER_DATA_CENTRE = {2, 3, 10, 27};
    private static final double[] REQUESTS_PER_SECOND = {30, 150, 600};
    private static final long SETTLE_MILLIS = 13_000;

    private SimulatedCluster cluster;
    private SimulatedRetries retries;

    private void start(int size, int rate) {
        cluster = new SimulatedCluster(DATA_CENTRES, PROCESSES_PER_DATA_CENTRE[size], 10_000);
        retries = new SimulatedRetries(cluster, REQUESTS_PER_SECOND[rate]);
        cluster.advance(SETTLE_MILLIS);
        retries.begin();
        cluster.advance(2_000);
    }

    private void assertWithinBudget() {
        cluster.advance(SimulatedRetries.WINDOW_MILLIS);
        double fullest = retries.fullestWindowShare();
        assertTrue(
                fullest <= 1,
                String.format(
                        Locale.ROOT,
                        "the fullest window has %.2f of the retries that it allows",
                        fullest));
    }

    /** Guards against a process that has just started spending the whole shared allowance. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void allAreKilledOnce(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        retries.restart(cluster.names(), 1_000);
        assertWithinBudget();
    }

    /** Guards against several lives within a window that each spend what one window earns. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void allAreKilledFiveTimes(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        for (int kill = 0; kill < 5; kill++) {
            retries.restart(cluster.names(), 600);
            cluster.advance(1_400);
        }
        assertWithinBudget();
    }

    /** Guards against the same when a full window has been earned before each of two kills. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void allAreKilledTwiceWithinAWindow(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        retries.restart(cluster.names(), 500);
        cluster.advance(6_500);
        retries.restart(cluster.names(), 500);
        assertWithinBudget();
    }

    /** Guards against the whole allowance at each process that cannot learn how many there are. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void allLosePowerWhileTheStoreIsAway(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        cluster.names().forEach(name -> cluster.setStoreReachable(name, false));
        retries.restart(cluster.names(), 600, Kill.POWER);
        cluster.advance(5_000);
        retries.restart(cluster.names(), 600, Kill.POWER);
        cluster.advance(12_000);
        cluster.names().forEach(name -> cluster.setStoreReachable(name, true));
        assertWithinBudget();
    }

    /** Guards against a part of the allowance that is derived from one data centre alone. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void dataCentreIsKilledWhileItIsCutOff(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        List<String> cutOff = cluster.namesOf("dc1");
        cutOff.forEach(name -> cluster.setStoreReachable(name, false));
        cluster.cut((one, other) -> cutOff.contains(one) && !cutOff.contains(other));
        retries.restart(cutOff, 800);
        cluster.advance(15_000);
        cluster.cut((one, other) -> false);
        cutOff.forEach(name -> cluster.setStoreReachable(name, true));
        assertWithinBudget();
    }

    /** Guards against the sum of the parts exceeding the allowance while half restart. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void halfAreKilledThenTheOthers(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        int half = cluster.names().size() / 2;
        retries.restart(cluster.names().subList(0, half), 700);
        cluster.advance(1_300);
        retries.restart(cluster.names().subList(half, cluster.names().size()), 700);
        assertWithinBudget();
    }

    /** Guards against the same while processes restart one after the other. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void processesRestartOneByOne(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        for (String name : cluster.names()) {
            retries.restart(List.of(name), 300);
        }
        assertWithinBudget();
    }

    /** Guards against retries that a frozen process sends later than they were counted. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void halfAreFrozenWithRetriesInProgress(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        List<String> frozen = cluster.names().subList(0, cluster.names().size() / 2);
        for (int freeze = 0; freeze < 2; freeze++) {
            frozen.forEach(name -> cluster.freeze(name, true));
            cluster.advance(4_000);
            frozen.forEach(name -> cluster.freeze(name, false));
            cluster.advance(1_500);
        }
        assertWithinBudget();
    }

    /** Guards against a quiet time before the fault being counted for each life. */
    @Property(tries = 12, generation = GenerationMode.EXHAUSTIVE)
    void linksAndStoreAreCutForLong(
            @ForAll @IntRange(max = 3) int size, @ForAll @IntRange(max = 2) int rate) {
        start(size, rate);
        cluster.names().forEach(name -> cluster.setStoreReachable(name, false));
        cluster.cut((one, other) -> true);
        cluster.advance(40_000);
        assertWithinBudget();
    }

    /** Without faults, retries are made that the budget allows. */
    @Example
    void withoutFaultsMostOfTheBudgetIsUsed() {
        start(1, 1);
        cluster.advance(2 * SimulatedRetries.WINDOW_MILLIS);
        double fullest = retries.fullestWindowShare();
        assertTrue(fullest >= 0.65 && fullest <= 1, "fullest window: " + fullest);
    }
}
