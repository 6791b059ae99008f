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
 * Checks all interleavings of a small case: two processes, one of which leads until its lease ends,
 * one order, and a store that loses calls and answers. Each state is rebuilt from its values, so
 * that the real classes run and no state is visited twice.
 */
class RolloutModelTest {
    private static final int DURATION_MILLIS = 3_000;

    /**
     * The relevant times: sampling, the last second, the record, the deadline, and long after it.
     */
    private static final int[] TIMES_MILLIS = {0, 2_100, 2_700, 3_200, 8_300};

    /** Time for which a leader that cannot reach the store continues to lead, in milliseconds. */
    private static final int LEASE_MILLIS = 3_000;

    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", DURATION_MILLIS, 1);
    private static final Upstream OLD = upstream("a", "v1");
    private static final Upstream NEW = upstream("b", "v2");
    private static final Fleet FLEET = new Fleet(1, 1, 0);
    private static final List<RouteEvidence> GOOD = evidence(0);
    private static final List<RouteEvidence> BAD = evidence(40);
    private static final int MAX_ROUNDS_APART = 2;
    private static final int NEVER_MILLIS = -9_000;

    /** The result of a write: done, done with its answer lost, or lost. */
    private enum Write {
        DONE,
        ANSWER_LOST,
        LOST
    }

    /** One process: its view, and the record as it last read it. */
    private record Member(
            RolloutPhase phase,
            boolean deadlineKnown,
            int knownSince,
            int round,
            int lastRoundAt,
            State read,
            int readRevision) {}

    /** The record in the store, and when it got its final state. */
    private record Store(State state, int revision, int endedAt) {}

    /**
     * The whole state: the time as an index, the leader and the end of its lease, the number of
     * restarts, the store and both processes.
     */
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
            int lowestRound = Math.max(1, Math.min(first.round(), second.round())) - 1;
            return new World(
                    time,
                    leader,
                    leaseEnd,
                    restarts,
                    store,
                    withSmallRound(first, lowestRound),
                    withSmallRound(second, lowestRound));
        }

        World with(Store next) {
            return new World(time, leader, leaseEnd, restarts, next, a, b);
        }

        /** Keeps rounds small: only which process is ahead matters. */
        private static Member withSmallRound(Member process, int lowestRound) {
            int round = Math.min(MAX_ROUNDS_APART, process.round() - lowestRound);
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
        System.out.println(
                visited.size() + " states of two processes, recorded states " + reachedStates);
        assertTrue(
                reachedStates.containsAll(Set.of(State.COMPLETED, State.ROLLED_BACK)),
                reachedStates.toString());
    }

    private void visit(World reached) {
        World world = canonical(reached);
        if (visited.add(world)) {
            check(world);
            open.add(world);
        }
    }

    /** Removes what can no longer make a difference, so that fewer states differ. */
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
        boolean leaderReachable = now - process.lastRoundAt() <= Rollout.LEADER_TIMEOUT_MILLIS;
        return new Member(
                process.phase(),
                process.deadlineKnown(),
                process.deadlineKnown() ? 0 : process.knownSince(),
                process.round(),
                leaderReachable ? process.lastRoundAt() : NEVER_MILLIS,
                process.read(),
                process.readRevision());
    }

    /** Checks the invariants of each state. */
    private void check(World world) {
        reachedStates.add(world.store().state());
        for (int index = 0; index < 2; index++) {
            Rollout view = view(world.process(index));
            boolean toNew = view.admitted(List.of(OLD, NEW), true, world.now()).contains(NEW);
            boolean rolledBackLongAgo =
                    world.store().state() == State.ROLLED_BACK
                            && world.now() - world.store().endedAt()
                                    > LEASE_MILLIS + Rollout.LEADER_TIMEOUT_MILLIS;
            assertFalse(
                    toNew && rolledBackLongAgo,
                    () -> "new version admitted long after the roll-back: " + world);
            boolean rollbackRead = world.process(index).read() == State.ROLLED_BACK;
            assertFalse(
                    toNew && rollbackRead,
                    () -> "new version admitted although the roll-back was read: " + world);
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

    /** Restarts a process, which then has read the store and received no update. */
    private static World restart(World world, int index) {
        Member restarted =
                new Member(
                        RolloutPhase.SAMPLING, false, world.now(), 0, NEVER_MILLIS, State.NONE, 0);
        World counted =
                new World(
                        world.time(),
                        world.leader(),
                        world.leaseEnd(),
                        1,
                        world.store(),
                        world.a(),
                        world.b());
        return read(counted.with(index, restarted), index);
    }

    private static World sendUpdate(World world, int from) {
        Member sender = world.process(from);
        Member receiver = world.process(1 - from);
        RolloutUpdate update = view(sender).update(List.of(), world.now());
        Rollout view = view(receiver);
        view.received(update, world.now());
        int lastRoundAt = update.round() > receiver.round() ? world.now() : receiver.lastRoundAt();
        return world.with(1 - from, process(view, receiver, lastRoundAt, world.now()));
    }

    private static World read(World world, int index) {
        Member reader = world.process(index);
        Rollout view = view(reader);
        view.recorded(status(world.store()), world.now());
        Member updated = process(view, reader, reader.lastRoundAt(), world.now());
        return world.with(index, withRead(updated, world.store()));
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

    /** Writes the record if its revision is the one that the process has read. */
    private static World write(World world, int index, State state, Write write) {
        Member writer = world.process(index);
        Store before = world.store();
        if (write == Write.LOST || writer.readRevision() != before.revision()) {
            return world;
        }
        checkChange(world, writer, before.state(), state);
        boolean isFinal = state != State.IN_PROGRESS;
        Store after = new Store(state, before.revision() + 2, isFinal ? world.now() : -1);
        World written = world.with(after);
        return write == Write.DONE ? read(written, index) : written;
    }

    private static void checkChange(World world, Member writer, State before, State after) {
        assertFalse(
                before == State.COMPLETED || before == State.ROLLED_BACK,
                () -> after + " after a final state: " + world);
        if (after == State.COMPLETED) {
            assertTrue(writer.deadlineKnown(), () -> "completed without a deadline: " + world);
            assertTrue(
                    world.now() >= DURATION_MILLIS - RolloutController.COMPLETION_LEAD_MILLIS,
                    () -> "completed before the bound allows it: " + world);
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

    /** Rebuilds the view of a process. A process that knows the deadline knows the true one. */
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

    private static Member process(Rollout view, Member before, int lastRoundAt, int now) {
        return new Member(
                view.phase(),
                view.isDeadlineKnown(),
                before.knownSince(),
                (int) view.update(List.of(), now).round(),
                lastRoundAt,
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
