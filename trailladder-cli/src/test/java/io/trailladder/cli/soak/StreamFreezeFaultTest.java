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
package io.trailladder.cli.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.cli.soak.StreamCaller.Stream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Streams that are resumed while the gateway where they began is stopped, and right afterwards. */
class StreamFreezeFaultTest {
    private static final int PROCESSES = 3;
    private static final int CALLERS = 8;
    private static final int STREAMS_EACH = 6;
    private static final int FIRST_EVENTS = 2;
    private static final int FROZEN = 0;
    private static final double MIN_CONTINUED = 0.95;
    private static final long SEED = 1;

    /** Time after which streams begin at a version that has been released, in milliseconds. */
    private static final long BEGIN_MILLIS = 2_500;

    private final StreamObservations record = new StreamObservations();
    private final List<StreamCaller> callers = new ArrayList<>();
    private StreamCluster cluster;

    @BeforeTry
    void start() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        cluster = new StreamCluster("freeze", PROCESSES, random.split(), record);
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new StreamCaller(cluster, random.split(), () -> true, record));
        }
        cluster.releases().add();
        Thread.sleep(BEGIN_MILLIS);
    }

    @AfterTry
    void stop() throws Exception {
        cluster.close();
    }

    /** Guards against joining or refusing streams of a gateway that does not answer its peers. */
    @Example
    void streamsOfAStoppedGatewayGoOnElsewhere() throws Exception {
        List<List<Stream>> streams = begin(FROZEN);
        cluster.freeze(FROZEN, true);
        cluster.releases().add();
        assertGoOn(streams, 1);
        Thread.sleep(BEGIN_MILLIS);
        assertGoOn(streams, 2);
    }

    /** Guards against a gateway that resumes streams by what it knew before it was stopped. */
    @Example
    void streamsGoOnAtAGatewayThatWasStopped() throws Exception {
        List<List<Stream>> before = begin(1);
        cluster.freeze(FROZEN, true);
        cluster.releases().add();
        Thread.sleep(BEGIN_MILLIS);
        List<List<Stream>> meanwhile = begin(1);
        cluster.freeze(FROZEN, false);
        assertGoOn(meanwhile, FROZEN);
        assertGoOn(before, FROZEN);
    }

    /** Begins streams of each caller at a gateway. */
    private List<List<Stream>> begin(int gateway) throws Exception {
        List<List<Stream>> begun = ofEach(i -> beginAll(callers.get(i), gateway));
        begun.forEach(streams -> streams.removeIf(stream -> !stream.hasBegun()));
        int count = begun.stream().mapToInt(List::size).sum();
        assertTrue(count >= MIN_CONTINUED * CALLERS * STREAMS_EACH, count + " begin");
        return begun;
    }

    private static List<Stream> beginAll(StreamCaller caller, int gateway) {
        List<Stream> begun = new ArrayList<>();
        for (int i = 0; i < STREAMS_EACH; i++) {
            begun.add(caller.begin(gateway, FIRST_EVENTS));
        }
        return begun;
    }

    /** Resumes streams at a gateway. */
    private void assertGoOn(List<List<Stream>> streams, int gateway) throws Exception {
        List<List<Boolean>> goOn = ofEach(i -> resumeAll(callers.get(i), streams.get(i), gateway));
        List<Boolean> counted = goOn.stream().flatMap(List::stream).toList();
        int continued = Collections.frequency(counted, true);
        String seen = continued + " of " + counted.size() + " go on at g" + gateway;
        long joined = streams.stream().flatMap(List::stream).filter(Stream::isJoined).count();
        assertEquals(0, joined, "joined, " + seen);
        assertTrue(continued >= MIN_CONTINUED * counted.size(), seen);
    }

    private static List<Boolean> resumeAll(StreamCaller caller, List<Stream> streams, int gateway) {
        List<Boolean> goOn = new ArrayList<>();
        for (Stream stream : streams) {
            goOn.add(caller.resume(stream, gateway));
        }
        return goOn;
    }

    /** Runs a task for each caller at the same time. */
    private <T> List<T> ofEach(Function<Integer, T> task) throws Exception {
        List<T> results = new ArrayList<>(Collections.nCopies(CALLERS, null));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int index = i;
            Thread thread = new Thread(() -> results.set(index, task.apply(index)), "caller-" + i);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return results;
    }
}
