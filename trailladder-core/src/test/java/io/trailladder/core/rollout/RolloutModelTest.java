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
package io.trailladder.core.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.rollout.RolloutController.Fleet;
import io.trailladder.core.rollout.RolloutController.Step;
import io.trailladder.core.rollout.RolloutStatus.State;
import io.trailladder.core.upstream.Upstream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * All interleavings of a small case: two processes, one of which leads until its lease ends, one
 * order, and a store that loses calls and answers. Each state is built anew from what it consists
 * of, so that the real deciders run and no state is met twice.
 */
class RolloutModelTest {
    private static final int DURATION_MILLIS = 3_000;

    /** Times that count: samples, the last second, the record, the deadline, and long after it. */
    private static final int[] TIMES_MILLIS = {0, 2_100, 2_700, 3_200, 8_300};

    /** How long a leader that cannot reach the store goes on leading, in milliseconds. */
    private static final int LEASE_MILLIS = 3_000;

    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", DURATION_MILLIS, 1);
    private static final Upstream OLD = upstream("a", "v1");
    private static final Upstream NEW = upstream("b", "v2");
    private static final Fleet FLEET = new Fleet(1, 1, 0);
    private static final List<RouteEvidence> GOOD = evidence(0);
    private static final List<RouteEvidence> BAD = evidence(40);
    private static final int MAX_ROUNDS_APART = 2;
    private static final int NEVER_MILLIS = -9_000;

    /** What becomes of a write: done, done but its answer lost, or lost. */
    private enum Write {
        DONE,
        ANSWER_LOST,
        LOST
    }

    /** One process: its view and the record as it last read it. */
    private record Member(
            RolloutPhase phase,
            boolean deadlineKnown,
            int knownSince,
            int round,
            int lastRoundAt,
            State read,
            int readRevision) {}

    /** The record in the store, when it got its end, and how many ends it got. */
    private record Store(State state, int revision, int endedAt) {}

    /** All there is: who leads and until when, the time as an index, lives lost, both processes. */
    private record World(
            int time, int leader, int leaseEnd, int restarts, Store store, Member a, Member b) {
        int now() {
            return TIMES_MILLIS[time];
        }

        Member process(int index) {
            return index == 0 ? a : b;
        }

        World with(int index, Member process) {
            Member first = index == 0 ? process : a;
            Member second = index == 0 ? b : process;
            int least = Math.max(1, Math.min(first.round(), second.round())) - 1;
            return new World(
                    time,
                    leader,
                    leaseEnd,
                    restarts,
                    store,
                    withSmallRound(first, least),
                    withSmallRound(second, least));
        }

        World with(Store next) {
            return new World(time, leader, leaseEnd, restarts, next, a, b);
        }

        /** Only who is ahead counts, so rounds are kept small. */
        private static Member withSmallRound(Member process, int least) {
            int round = Math.min(MAX_ROUNDS_APART, process.round() - least);
            return new Member(
                    process.phase(),
                    process.deadlineKnown(),
                    process.knownSince(),
                    round,
                    process.lastRoundAt(),
                    process.read(),
                    process.readRevision());
        }
    }

    private final Deque<World> open = new ArrayDeque<>();
    private final Set<World> visited = new HashSet<>();
    private final Set<State> reachedStates = new HashSet<>();

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", "z", "h:1", 8, false, false, 0, version, 0, 0);
    }

    private static List<RouteEvidence> evidence(int bad) {
        return List.of(new RouteEvidence("r", new AnswerCount(900, 1), new AnswerCount(90, bad)));
    }

    @Example
    void noInterleavingBreaksTheInvariants() {
        Member fresh = new Member(RolloutPhase.SAMPLING, true, 0, 0, NEVER_MILLIS, State.NONE, 0);
        visit(new World(0, 0, LEASE_MILLIS, 0, new Store(State.NONE, 0, -1), fresh, fresh));
        while (!open.isEmpty()) {
            World world = open.remove();
            next(world).forEach(this::visit);
        }
        System.out.println(visited.size() + " states of two processes, ends " + reachedStates);
        assertTrue(reachedStates.containsAll(Set.of(State.COMPLETED, State.ROLLED_BACK)), reachedStates.toString());
    }

    private void visit(World reached) {
        World world = canonical(reached);
        if (visited.add(world)) {
            check(world);
            open.add(world);
        }
    }

    /** Leaves out what can no longer make a difference, so that fewer states differ. */
    private static World canonical(World world) {
        return new World(
                world.time(),
                world.now() < world.leaseEnd() ? world.leader() : 0,
                world.now() < world.leaseEnd() ? world.leaseEnd() : NEVER_MILLIS,
                world.restarts(),
                world.store(),
                canonical(world.a(), world.now()),
                canonical(world.b(), world.now()));
    }

    private static Member canonical(Member process, int now) {
        boolean heardLately = now - process.lastRoundAt() <= Rollout.LEADER_TIMEOUT_MILLIS;
        return new Member(
                process.phase(),
                process.deadlineKnown(),
                process.deadlineKnown() ? 0 : process.knownSince(),
                process.round(),
                heardLately ? process.lastRoundAt() : NEVER_MILLIS,
                process.read(),
                process.readRevision());
    }

    /** What must hold in each state. */
    private void check(World world) {
        reachedStates.add(world.store().state());
        for (int index = 0; index < 2; index++) {
            Rollout view = view(world.process(index));
            boolean toNew = view.admitted(List.of(OLD, NEW), true, world.now()).contains(NEW);
            boolean leftLong =
                    world.store().state() == State.ROLLED_BACK
                            && world.now() - world.store().endedAt() > LEASE_MILLIS + Rollout.LEADER_TIMEOUT_MILLIS;
            assertFalse(toNew && leftLong, () -> "sent long after the roll-back: " + world);
            boolean readBack = world.process(index).read() == State.ROLLED_BACK;
            assertFalse(toNew && readBack, () -> "sent though it knows better: " + world);
        }
    }

    private static List<World> next(World world) {
        List<World> next = new ArrayList<>();
        if (world.time() + 1 < TIMES_MILLIS.length) {
            next.add(passTime(world));
        }
        for (int index = 0; index < 2; index++) {
            next.add(sendUpdate(world, index));
            next.add(read(world, index));
            if (world.restarts() == 0) {
                next.add(restart(world, index));
            }
            if (world.leader() == index && world.now() < world.leaseEnd()) {
                steps(world, index, next);
            } else if (world.now() >= world.leaseEnd()) {
                next.add(takeLead(world, index));
            }
        }
        return next;
    }

    private static World passTime(World world) {
        return new World(
                world.time() + 1,
                world.leader(),
                world.leaseEnd(),
                world.restarts(),
                world.store(),
                world.a(),
                world.b());
    }

    private static World takeLead(World world, int index) {
        return new World(
                world.time(),
                index,
                world.now() + LEASE_MILLIS,
                world.restarts(),
                world.store(),
                world.a(),
                world.b());
    }

    /** A life that starts anew has read the store and no peer. */
    private static World restart(World world, int index) {
        Member life =
                new Member(RolloutPhase.SAMPLING, false, world.now(), 0, NEVER_MILLIS, State.NONE, 0);
        World lost =
                new World(
                        world.time(),
                        world.leader(),
                        world.leaseEnd(),
                        1,
                        world.store(),
                        world.a(),
                        world.b());
        return read(lost.with(index, life), index);
    }

    private static World sendUpdate(World world, int from) {
        Member teller = world.process(from);
        Member told = world.process(1 - from);
        RolloutUpdate news = view(teller).update(List.of(), world.now());
        Rollout view = view(told);
        view.received(news, world.now());
        int heard = news.round() > told.round() ? world.now() : told.lastRoundAt();
        return world.with(1 - from, process(view, told, heard, world.now()));
    }

    private static World read(World world, int index) {
        Member reader = world.process(index);
        Rollout view = view(reader);
        view.recorded(status(world.store()), world.now());
        Member seen = process(view, reader, reader.lastRoundAt(), world.now());
        return world.with(index, withRead(seen, world.store()));
    }

    private static void steps(World world, int index, List<World> next) {
        for (List<RouteEvidence> evidence : List.of(GOOD, BAD)) {
            for (Write write : Write.values()) {
                next.add(step(world, index, evidence, write));
            }
        }
    }

    private static World step(World world, int index, List<RouteEvidence> evidence, Write write) {
        Member leading = world.process(index);
        Rollout view = view(leading);
        RolloutStatus read = new RolloutStatus("s", "v2", leading.read(), leading.readRevision());
        if (view.phase().isFinal()) {
            return world;
        }
        Step step = new RolloutController(view).next(evidence, read, FLEET, world.now());
        view.lead(step.phase(), world.now());
        World led = world.with(index, process(view, leading, world.now(), world.now()));
        return step.record().map(state -> write(led, index, state, write)).orElse(led);
    }

    /** Writes under the condition of the revision that the process has read. */
    private static World write(World world, int index, State state, Write write) {
        Member writer = world.process(index);
        Store before = world.store();
        if (write == Write.LOST || writer.readRevision() != before.revision()) {
            return world;
        }
        checkChange(world, writer, before.state(), state);
        boolean ends = state != State.IN_PROGRESS;
        Store after = new Store(state, before.revision() + 2, ends ? world.now() : -1);
        World written = world.with(after);
        return write == Write.DONE ? read(written, index) : written;
    }

    private static void checkChange(World world, Member writer, State before, State after) {
        assertFalse(
                before == State.COMPLETED || before == State.ROLLED_BACK,
                () -> after + " after an end: " + world);
        if (after == State.COMPLETED) {
            assertTrue(writer.deadlineKnown(), () -> "completed without a deadline: " + world);
            assertTrue(
                    world.now() >= DURATION_MILLIS - RolloutController.COMPLETION_LEAD_MILLIS,
                    () -> "completed before it is paid for: " + world);
        }
    }

    private static RolloutStatus status(Store store) {
        return store.revision() == 0
                ? RolloutStatus.none("s")
                : new RolloutStatus("s", "v2", store.state(), store.revision());
    }

    private static Member withRead(Member process, Store store) {
        return new Member(
                process.phase(),
                process.deadlineKnown(),
                process.knownSince(),
                process.round(),
                process.lastRoundAt(),
                store.state(),
                store.revision());
    }

    /** Builds the view of a process anew; whoever knows the deadline knows the true one. */
    private static Rollout view(Member process) {
        ExposureLedger ledger = new ExposureLedger(1, 0.9);
        Rollout view =
                process.deadlineKnown()
                        ? new Rollout(ORDER, ledger, 0)
                        : Rollout.ofUnknownAge(ORDER, ledger, process.knownSince());
        RolloutUpdate past =
                new RolloutUpdate(
                        ORDER, process.phase(), Long.MAX_VALUE / 4, process.round(), List.of());
        view.received(past, process.lastRoundAt());
        return view;
    }

    private static Member process(Rollout view, Member before, int heard, int now) {
        return new Member(
                view.phase(),
                view.isDeadlineKnown(),
                before.knownSince(),
                (int) view.update(List.of(), now).round(),
                heard,
                before.read(),
                before.readRevision());
    }

    @Example
    void rebuiltViewEqualsTheOriginal() {
        Member process =
                new Member(RolloutPhase.SWITCHING, false, 100, 2, 900, State.IN_PROGRESS, 2);
        assertEquals(process, process(view(process), process, process.lastRoundAt(), 1_000));
    }
}
