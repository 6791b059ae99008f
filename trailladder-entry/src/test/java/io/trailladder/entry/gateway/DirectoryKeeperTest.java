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
import io.trailladder.wire.NodeMessage.UpstreamEntry;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** The list of upstreams over an absence of the store, in virtual time. */
class DirectoryKeeperTest {
    private static final String READY = "ready";
    private static final String LEAVING = "leaving";
    private static final String SPOILED = "spoiled";

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final List<String> left = new ArrayList<>();
    private final List<Runnable> later = new ArrayList<>();
    private long now;
    private final DirectoryManager keeper =
            new DirectoryManager(new PlainFormat(), directory, () -> now, later::add);

    DirectoryKeeperTest() {
        keeper.onLeaving(upstream -> left.add(upstream.id()));
        keeper.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 2);
    }

    /** Entries whose whole text is their state. */
    private static final class PlainFormat extends NoFormat {
        @Override
        public Either<String, Upstream> upstream(String id, byte[] value) {
            String state = new String(value, StandardCharsets.UTF_8);
            if (state.equals(SPOILED)) {
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

    private static StoreItem gone(String id, long revision) {
        return new StoreItem("upstream/" + id, new byte[0], revision, 1, true);
    }

    private void pass(long millis) {
        now += millis;
        List<Runnable> due = List.copyOf(later);
        later.clear();
        due.forEach(Runnable::run);
    }

    private int serving() {
        return directory.serving("s").size();
    }

    @Example
    void entryThatLapsedAndComesBackServesAgain() {
        keeper.changed(gone("a", 3));
        assertEquals(1, serving());
        keeper.changed(item("a", READY, 4));
        assertEquals(2, serving());
    }

    @Example
    void entriesMissingRightAfterTheStoreReturnsServeOnUntilTheyAreBack() {
        keeper.storeRegained();
        keeper.listed(List.of(item("a", READY, 1)), 5);
        assertEquals(2, serving());
        now += DirectoryManager.REAPPEARANCE_MILLIS - 1;
        keeper.changed(item("b", READY, 6));
        pass(1);
        assertEquals(2, serving());
        assertTrue(left.isEmpty(), left.toString());
    }

    @Example
    void entriesThatDoNotComeBackAreGone() {
        keeper.storeRegained();
        keeper.changed(gone("a", 3));
        keeper.listed(List.of(), 5);
        assertEquals(2, serving());
        pass(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(0, serving());
        assertEquals(2, left.size(), left.toString());
    }

    @Example
    void leavingThatWasAcknowledgedBindsWhileTheStoreIsAway() {
        keeper.changed(item("a", LEAVING, 3));
        keeper.storeRegained();
        keeper.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
        keeper.changed(gone("a", 6));
        keeper.changed(item("a", READY, 7));
        assertEquals(1, serving());
        assertTrue(keeper.isLeaving("a"));
        assertFalse(keeper.isLeaving("b"));
    }

    @Example
    void leavingToldByAPeerBindsToo() {
        keeper.leavingReportedBy(new LeavingUpstream("b", 0), "peer");
        keeper.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
    }

    @Example
    void whatAnUpstreamSaysItselfIsNewsOnce() {
        assertTrue(keeper.leavingAnnouncedBy(directory.find("a").orElseThrow()));
        assertFalse(keeper.leavingAnnouncedBy(directory.find("a").orElseThrow()));
        keeper.changed(item("a", LEAVING, 3));
        keeper.leavingReportedBy(new LeavingUpstream("a", 0), "peer");
        assertEquals(List.of("a"), left);
        assertEquals(1, serving());
    }

    /** Its upstream has not ended: nothing is moved away or put down to a request. */
    @Example
    void entryThatCannotBeUsedNamesNobodyUntilItIsSoundAgain() {
        keeper.changed(item("a", SPOILED, 3));
        assertEquals(1, serving());
        assertEquals(1, keeper.unusable());
        keeper.listed(List.of(item("a", SPOILED, 3), item("b", SPOILED, 4)), 4);
        assertEquals(0, serving());
        assertEquals(2, keeper.unusable());
        assertTrue(left.isEmpty(), left.toString());
        keeper.changed(item("a", READY, 5));
        keeper.changed(gone("b", 6));
        assertEquals(1, serving());
        keeper.listed(List.of(item("a", READY, 5)), 7);
        assertEquals(0, keeper.unusable());
    }

    // Guards against lists of a lost history that count as newer for their higher revision.
    @Example
    void anyListOfANewHistoryIsNewer() {
        keeper.changed(item("a", READY, 400));
        keeper.historyReplaced();
        assertTrue(keeper.isKnown(), "upstreams stay known");
        keeper.applyFromPeer(List.of(new UpstreamEntry("a", bytes(READY))), 20, "hub");
        assertEquals(20, keeper.revision());
        assertEquals(2, serving(), "one that is missing may come back");
        pass(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(1, serving());
    }

    // Guards against upstreams that went and that a copy lists as they were.
    @Example
    void entryThatWentIsNotBelievedBackUntilItIsWrittenAnew() {
        keeper.changed(gone("a", 400));
        keeper.historyReplaced();
        keeper.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        assertEquals(1, serving());
        keeper.changed(item("a", READY, 6));
        assertEquals(2, serving());
    }

    // Guards against an upstream being left out for good because its entry was doubted.
    @Example
    void doubtedEntryIsBelievedOnceOthersHaveLapsed() {
        keeper.changed(gone("a", 400));
        keeper.historyReplaced();
        keeper.listed(List.of(item("a", READY, 1), item("b", READY, 2)), 5);
        pass(DirectoryManager.REAPPEARANCE_MILLIS);
        pass(DirectoryManager.REAPPEARANCE_MILLIS);
        assertEquals(2, serving());
    }

    private static byte[] bytes(String state) {
        return state.getBytes(StandardCharsets.UTF_8);
    }
}
