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

import io.trailladder.core.table.Row;
import io.trailladder.core.table.Table;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerCodec;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.Heartbeat;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A set of entries in virtual time. Links deliver in order, can delay messages, break and be
 * restored; entries can stop, freeze or be lost at given times.
 */
final class SimulatedEntries {
    /** The time between the start of a hand-over and the end of the entry, in milliseconds. */
    static final long HAND_OVER_MILLIS = 300;

    private static final long LINK_MILLIS = 1;

    final VirtualClock clock = new VirtualClock();
    final SimulatedEngine engine = new SimulatedEngine(clock);
    final Map<String, SimulatedEntry> entries = new LinkedHashMap<>();
    private final Map<EntryPair, Direction> directions = new HashMap<>();

    /** The sender and the receiver of one direction of a link. */
    private record EntryPair(String from, String to) {}

    /** One direction of a link. */
    private static final class Direction {
        boolean cut;
        int incarnation;
        long heldUntilMillis;
        long lastDelivery;
        final List<PeerMessage> sent = new ArrayList<>();
    }

    SimulatedEntries(int count, Row row) {
        for (int i = 0; i < count; i++) {
            add(Character.toString('a' + i));
        }
        table(row);
    }

    SimulatedEntries(int count) {
        this(count, row(true));
    }

    static Row row(boolean repeatable) {
        return new Row(
                SimulatedEntry.ORGANISATION,
                SimulatedEntry.MODEL,
                TargetKind.MODEL,
                List.of("baires-a"),
                10,
                0,
                1_200,
                repeatable,
                "hash-of-the-key");
    }

    private void add(String id) {
        EntryInfo info = new EntryInfo(id, "baires-a", id + ":1", id + ":2", id + ":3");
        entries.put(
                id, new SimulatedEntry(info, new VirtualTimer(clock), new EntryLinks(id), engine));
    }

    /** Puts a table in force at every entry. */
    void table(Row... rows) {
        long revision = clock.millis() + 1;
        Table table = Table.of(revision, "change-" + revision, List.of(rows));
        entries.values().forEach(entry -> entry.table(table));
    }

    SimulatedEntry entry(String id) {
        return entries.get(id);
    }

    /** Returns the entries that are neither lost nor frozen. */
    List<SimulatedEntry> running() {
        return entries.values().stream().filter(entry -> entry.timer.isRunning()).toList();
    }

    void run(long millis) {
        clock.run(millis);
    }

    /** Returns the messages of a kind that were sent from one entry to another. */
    <M extends PeerMessage> List<M> sent(String from, String to, Class<M> kind) {
        return direction(from, to).sent.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /**
     * Delays all messages from one entry to another that are sent from now on, until a time span
     * ends.
     */
    void hold(String from, String to, long millis) {
        direction(from, to).heldUntilMillis = clock.millis() + millis;
    }

    /** Breaks the link between two entries. Messages in transit are lost. */
    void cut(String one, String other) {
        if (!direction(one, other).cut) {
            down(one, other);
            down(other, one);
            reportLost(one, other);
            reportLost(other, one);
        }
    }

    private void down(String from, String to) {
        Direction direction = direction(from, to);
        direction.cut = true;
        direction.incarnation++;
    }

    private void reportLost(String at, String peer) {
        SimulatedEntry entry = entries.get(at);
        clock.after(LINK_MILLIS, () -> entry.timer.run(() -> entry.lost(entries.get(peer).info)));
    }

    /** Restores a link. */
    void heal(String one, String other) {
        direction(one, other).cut = false;
        direction(other, one).cut = false;
    }

    /** Ends an entry at once, as when its instance is lost. */
    void kill(String id) {
        SimulatedEntry entry = entries.get(id);
        if (entry.timer.isLost()) {
            return;
        }
        entry.kill();
        engine.lost(id);
        entries.keySet().stream().filter(peer -> !peer.equals(id)).forEach(p -> cut(id, p));
    }

    /** Stops an entry: it drains, hands its requests over, and ends. */
    void stop(String id, long drainMillis) {
        SimulatedEntry entry = entries.get(id);
        entry.timer.run(entry::drain);
        Heartbeat draining = new Heartbeat(0, 0, true, List.of(), List.of());
        entries.keySet().stream()
                .filter(peer -> !peer.equals(id))
                .forEach(peer -> send(id, peer, draining));
        clock.after(drainMillis, () -> entry.timer.run(() -> handOver(id)));
    }

    /** Hands the requests of an entry over at once, and ends it {@link #HAND_OVER_MILLIS} later. */
    void handOver(String id) {
        SimulatedEntry entry = entries.get(id);
        entry.drain();
        entry.book.handOverAll();
        clock.after(
                HAND_OVER_MILLIS,
                () ->
                        entry.timer.run(
                                () -> {
                                    entry.book.endUnfinished();
                                    kill(id);
                                }));
    }

    /** Freezes an entry, as SIGSTOP does, and continues it after a time span. */
    void freeze(String id, long millis) {
        SimulatedEntry entry = entries.get(id);
        if (!entry.timer.isRunning()) {
            return;
        }
        entry.timer.freeze();
        clock.after(
                PeerLinks.LIVE_TIMEOUT_MILLIS,
                () -> {
                    if (!entry.timer.isRunning() && !entry.timer.isLost()) {
                        entries.keySet().stream()
                                .filter(peer -> !peer.equals(id))
                                .forEach(peer -> reportLost(peer, id));
                    }
                });
        clock.after(millis, entry.timer::thaw);
    }

    private Direction direction(String from, String to) {
        return directions.computeIfAbsent(new EntryPair(from, to), pair -> new Direction());
    }

    /** Sends a message. Messages are delivered in order, and lost if the link breaks. */
    boolean send(String from, String to, PeerMessage message) {
        Direction direction = direction(from, to);
        SimulatedEntry receiver = entries.get(to);
        if (receiver == null || direction.cut || entries.get(from).timer.isLost()) {
            return false;
        }
        direction.sent.add(message);
        byte[] frame = PeerCodec.encode(message);
        long due = Math.max(clock.millis() + LINK_MILLIS, direction.heldUntilMillis);
        direction.lastDelivery = Math.max(direction.lastDelivery, due);
        int incarnation = direction.incarnation;
        clock.at(
                direction.lastDelivery,
                () -> {
                    if (direction.incarnation == incarnation) {
                        PeerMessage copy =
                                PeerCodec.decode(frame, PeerCodec.LENGTH_BYTES, frame.length);
                        receiver.timer.run(() -> receiver.received(entries.get(from).info, copy));
                    }
                });
        return true;
    }

    /** The links of one entry. */
    private final class EntryLinks implements Peers {
        private final String self;

        EntryLinks(String self) {
            this.self = self;
        }

        @Override
        public boolean send(String peer, PeerMessage message) {
            return SimulatedEntries.this.send(self, peer, message);
        }

        @Override
        public List<EntryInfo> live() {
            return entries.values().stream()
                    .filter(entry -> !entry.id().equals(self))
                    .filter(entry -> !direction(self, entry.id()).cut)
                    .map(entry -> entry.info)
                    .toList();
        }
    }
}
