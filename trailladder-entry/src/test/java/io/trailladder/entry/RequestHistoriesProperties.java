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
package io.trailladder.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Random histories of stops, losses, freezes, cuts and delayed messages among 2 to 4 entries: the
 * number of runs of a request is bounded by the events and retries, one entry runs it once the
 * faults have ended, and a caller that retries receives the complete answer.
 */
class RequestHistoriesProperties {
    private static final int TOKENS = 400;
    private static final long CALM_MILLIS = 5_000;
    private static final long GONE_MILLIS = 700;

    /** The kind of a fault at one entry or between two. */
    private enum Kind {
        STOP,
        KILL,
        FREEZE,
        CUT,
        HOLD
    }

    /**
     * An event.
     *
     * @param kind the kind
     * @param entry the number of the entry
     * @param other the number of the other entry, for events between two
     * @param afterMillis the time since the previous event, in milliseconds
     * @param millis the duration, or the drain time, in milliseconds
     */
    private record Event(Kind kind, int entry, int other, int afterMillis, int millis) {}

    @Provide
    Arbitrary<List<Event>> events() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 600),
                        Arbitraries.integers().between(1, 1_500))
                .as(Event::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
    }

    /**
     * Applies events. The last entry never ends, and one ends only after the previous one has
     * ended.
     */
    private static final class Play {
        final SimulatedEntries system;
        final PersistentCaller caller;
        final List<String> names;
        final List<String> done = new ArrayList<>();
        long calmFrom;
        long goneAt;
        long disturbedUntil;
        int events;

        Play(int count, int tokens) {
            system = new SimulatedEntries(count);
            caller = new PersistentCaller(system);
            names = List.copyOf(system.entries.keySet());
            caller.begin(names.get(0), tokens);
            system.run(200);
        }

        void play(Event event) {
            system.run(event.afterMillis());
            String entry = names.get(event.entry() % names.size());
            String other = names.get(event.other() % names.size());
            boolean leaves = event.kind() == Kind.STOP || event.kind() == Kind.KILL;
            boolean last = entry.equals(names.get(names.size() - 1));
            long now = system.clock.millis();
            if (leaves && (last || now < goneAt || now < disturbedUntil)) {
                return;
            }
            if (entry.equals(other) && (event.kind() == Kind.CUT || event.kind() == Kind.HOLD)) {
                return;
            }
            events += 2;
            done.add(now + " " + event.kind() + " " + entry + " " + other + " " + event.millis());
            apply(event, entry, other, now);
        }

        private void apply(Event event, String entry, String other, long now) {
            long millis = event.millis();
            switch (event.kind()) {
                case KILL -> {
                    system.kill(entry);
                    goneAt = now + GONE_MILLIS;
                }
                case STOP -> {
                    system.stop(entry, millis);
                    goneAt = now + millis + GONE_MILLIS;
                }
                case FREEZE -> {
                    if (now >= goneAt) {
                        system.freeze(entry, millis * 3);
                        disturbed(now + millis * 3);
                    }
                }
                case CUT -> {
                    if (now >= goneAt) {
                        system.cut(entry, other);
                        system.clock.after(millis, () -> system.heal(entry, other));
                        disturbed(now + millis);
                    }
                }
                case HOLD -> {
                    long held = Math.min(millis, 90);
                    system.hold(entry, other, held);
                    disturbed(now + held);
                }
            }
            calmFrom = Math.max(calmFrom, Math.max(goneAt, disturbedUntil));
        }

        private void disturbed(long until) {
            disturbedUntil = Math.max(disturbedUntil, until + GONE_MILLIS);
        }

        void calmDown() {
            long wait = Math.max(0, calmFrom - system.clock.millis());
            system.run(wait + CALM_MILLIS);
        }

        @Override
        public String toString() {
            return names.size() + " entries, " + done + ", " + caller + ", " + system.engine.runs();
        }
    }

    @Property(tries = 400, seed = "20260")
    void requestHasOneOwnerAndItsCallerHasTheWholeAnswer(
            @ForAll("events") List<Event> events, @ForAll("counts") int count) {
        Play play = new Play(count, TOKENS);
        events.forEach(play::play);
        play.calmDown();
        assertTrue(play.caller.isWhole(), play.toString());
        assertEquals(SimulatedEngine.answer(TOKENS), play.caller.text(), play.toString());
        int begun = play.system.engine.runs().size();
        assertTrue(begun <= 1 + play.events + play.caller.asks(), play.toString());
    }

    @Property(tries = 400, seed = "20261")
    void requestThatGoesOnForLongHasOneOwnerOnceAllIsCalm(
            @ForAll("events") List<Event> events, @ForAll("counts") int count) {
        Play play = new Play(count, 10_000);
        events.forEach(play::play);
        play.calmDown();
        assertEquals(1, play.system.engine.activeEntries().size(), play.toString());
    }

    @Provide
    Arbitrary<Integer> counts() {
        return Arbitraries.integers().between(2, 4);
    }
}
