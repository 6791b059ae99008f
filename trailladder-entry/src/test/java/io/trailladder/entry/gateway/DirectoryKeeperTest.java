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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.wire.NodeMessage.Snapshot;
import io.trailladder.wire.NodeMessage.UpstreamEntry;
import io.trailladder.wire.NodeMessage.UpstreamUpdate;
import io.trailladder.wire.PeerCodec;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the upstream list during and after an outage of the store, in virtual time. */
class DirectoryKeeperTest {
    private static final String READY = "ready";
    private static final String LEAVING = "leaving";
    private static final String INVALID = "spoiled";
    private static final int MANY = 5_000;
    private static final int LONG_BYTES = 10_000;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final List<String> leftIds = new ArrayList<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private long now;
    private final DirectoryManager manager =
            new DirectoryManager(new PlainFormat(), directory, () -> now, scheduled::add);

    DirectoryKeeperTest() {
        manager.onLeaving(upstream -> leftIds.add(upstream.id()));
        manager.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 2);
    }

    /** Reads entries whose value is only their state. */
    private static final class PlainFormat extends EmptyPlatformFormat {
        @Override
        public Either<String, Upstream> upstream(String id, byte[] value) {
            String state = new String(value, StandardCharsets.UTF_8);
            if (state.startsWith(INVALID)) {
                return Either.left("field 'state' is missing");
            }
            boolean leaving = state.equals(LEAVING);
            return Either.right(new Upstream(id, "s", "z", "h:1", 8, leaving, false, 0));
        }
    }

    private static StoreItem item(String id, String state, long revision) {
        byte[] value = state.getBytes(StandardCharsets.UTF_8);
        return new StoreItem("upstream/" + id, value, revision, 1, false);
    }

    private static StoreItem removed(String id, long revision) {
        return new StoreItem("upstream/" + id, new byte[0], revision, 1, true);
    }

    private void advance(long millis) {
        now += millis;
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }

    private int serving() {
        return directory.serving("s").size();
    }

    @Example
    void entryThatLapsedAndIsWrittenAgainServesAgain() {
        manager.changed(removed("a", 3));
        assertEquals(1, serving());
        manager.changed(item("a", READY, 4));
        assertEquals(2, serving());
    }

    @Example
    void entriesMissingRightAfterAStoreOutageServeUntilTheyReturn() {
        manager.storeRegained();
        manager.listed(List.of(item("a", READY, 1)), 5);
        assertEquals(2, serving());
        now += DirectoryManager.REAPPEARANCE_MILLIS - 1;
        manager.changed(item("b", READY, 6));
        advance(1);
        assertEquals(2, serving());
        assertTrue(leftIds.isEmpty(), leftIds.toString());
    }

    @Example
    void entriesThatDoNotReturnAfterAStoreOutageAreRemoved() {
        manager.storeRegained();
        manager.changed(removed("a", 3));
        manager.listed(List.of(), 5);
        assertEquals(2, serving());
        advance(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(0, serving());
        assertEquals(2, leftIds.size(), leftIds.toString());
    }

    @Example
    void acknowledgedLeavingStaysInForceAfterAStoreOutage() {
        manager.changed(item("a", LEAVING, 3));
        manager.storeRegained();
        manager.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
        manager.changed(removed("a", 6));
        manager.changed(item("a", READY, 7));
        assertEquals(1, serving());
        assertTrue(manager.isLeaving("a"));
        assertFalse(manager.isLeaving("b"));
    }

    @Example
    void leavingReportedByAPeerStaysInForceToo() {
        manager.leavingReportedBy(new LeavingUpstream("b", 0), "peer");
        manager.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
    }

    @Example
    void leavingAnnouncedByTheUpstreamIsReportedOnce() {
        assertTrue(manager.leavingAnnouncedBy(directory.find("a").orElseThrow()));
        assertFalse(manager.leavingAnnouncedBy(directory.find("a").orElseThrow()));
        manager.changed(item("a", LEAVING, 3));
        manager.leavingReportedBy(new LeavingUpstream("a", 0), "peer");
        assertEquals(List.of("a"), leftIds);
        assertEquals(1, serving());
    }

    /**
     * The upstream of an invalid entry has not ended: it is not reported as leaving, so its
     * requests are not moved and no end is attributed to them.
     */
    @Example
    void invalidEntryIsNotServedUntilItIsValidAgain() {
        manager.changed(item("a", INVALID, 3));
        assertEquals(1, serving());
        assertEquals(1, manager.unusable());
        manager.listed(List.of(item("a", INVALID, 3), item("b", INVALID, 4)), 4);
        assertEquals(0, serving());
        assertEquals(2, manager.unusable());
        assertTrue(leftIds.isEmpty(), leftIds.toString());
        manager.changed(item("a", READY, 5));
        manager.changed(removed("b", 6));
        assertEquals(1, serving());
        manager.listed(List.of(item("a", READY, 5)), 7);
        assertEquals(0, manager.unusable());
    }

    // Guards against a list of a lost history that counts as newer because its revision is higher.
    @Example
    void anyListOfANewHistoryReplacesTheCurrentOne() {
        manager.changed(item("a", READY, 400));
        manager.historyReplaced();
        assertTrue(manager.isKnown(), "upstreams stay known");
        manager.applyFromPeer(List.of(new UpstreamEntry("a", bytes(READY))), 20, "hub");
        assertEquals(20, manager.revision());
        assertEquals(2, serving(), "a missing upstream may return");
        advance(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(1, serving());
    }

    // Guards against removed upstreams that a store restored from a copy lists again.
    @Example
    void removedEntryOfARestoredStoreIsNotServedUntilItIsWrittenAgain() {
        manager.changed(removed("a", 400));
        manager.historyReplaced();
        manager.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
        manager.changed(item("a", READY, 6));
        assertEquals(2, serving());
    }

    // Guards against an upstream being excluded for ever because its entry was doubted.
    @Example
    void doubtedEntryIsServedOnceOthersHaveLapsed() {
        manager.changed(removed("a", 400));
        manager.historyReplaced();
        manager.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        advance(DirectoryManager.REAPPEARANCE_MILLIS);
        advance(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(2, serving());
    }

    private static byte[] bytes(String state) {
        return state.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against an empty entry that counts as the end of its upstream. */
    @Example
    void emptyEntryIsInvalidAndNoRemoval() {
        List<UpstreamUpdate> updates = new ArrayList<>();
        manager.onUpdate(updates::add);
        manager.changed(item("a", "", 3));
        assertEquals(1, serving());
        assertTrue(leftIds.isEmpty(), leftIds.toString());
        assertTrue(updates.get(0).upstream().value().length > 0, "peers take it as removed");
        manager.changed(item("a", READY, 4));
        assertEquals(2, serving());
    }

    /** Guards against invalid entries that exceed the memory, or a message to a peer. */
    @Example
    void manyLongInvalidEntriesAreNotKept() {
        List<StoreItem> items = new ArrayList<>();
        items.add(item("a", READY, 1));
        for (int i = 0; i < MANY; i++) {
            items.add(item("odd-" + i, INVALID + " ".repeat(LONG_BYTES), 2));
        }
        manager.listed(items, 3);
        manager.changed(item("odd-0", INVALID + " ".repeat(LONG_BYTES), 4));
        assertEquals(1, serving());
        assertEquals(MANY, manager.unusable());
        Snapshot snapshot = new Snapshot(0, new byte[0], 4, manager.entries());
        assertTrue(PeerCodec.encode(snapshot).length < 1 << 20);
    }

    /** Guards against processes that count the same invalid entry as different. */
    @Example
    void invalidEntryOfAPeerIsTheSameAsThatOfTheStore() {
        List<UpstreamUpdate> ignored = new ArrayList<>();
        manager.onIgnoredUpdate(ignored::add);
        manager.changed(item("a", INVALID + " 1", 3));
        byte[] value = bytes(INVALID + " 1");
        manager.applyFromPeer(new UpstreamUpdate(2, 3, new UpstreamEntry("a", value)));
        assertTrue(ignored.isEmpty(), ignored.toString());
    }
}
