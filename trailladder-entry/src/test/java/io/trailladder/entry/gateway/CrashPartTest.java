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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.wire.NodeMessage.DigestScope;
import io.trailladder.wire.NodeMessage.DigestSection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests the digest section with reports of requests that end upstreams. */
class CrashPartTest {
    private static final long NO_LONGER_RECENT_MILLIS = 60_000;

    private long now = 1_000_000;
    private final CrashWatch own = watch();
    private final CrashPart ownPart = new CrashPart(own, 1);
    private final CrashWatch other = watch();
    private final CrashPart otherPart = new CrashPart(other, 2);

    private CrashWatch watch() {
        return new CrashWatch(() -> now, new GatewayMetrics());
    }

    private static RequestIdentity request(long value) {
        return new RequestIdentity(() -> new RequestTrait(value), Prompt.NONE);
    }

    private static Upstream upstream(String id) {
        return new Upstream(id, "s", "dc", "h:1", 8, false, false, 0);
    }

    private void recordEnds(CrashWatch watch, long request, int times) {
        for (int i = 0; i < times; i++) {
            watch.recordEnd("t", request(request), upstream(request + "-" + i), 100);
        }
    }

    private DigestSection section(CrashPart from) {
        now++;
        return from.write(DigestScope.GROUP, List.of(), now).orElseThrow();
    }

    @Example
    void endsSeenByTwoProcessesAddUp() throws IOException {
        recordEnds(own, 1, 2);
        other.recordEnd("t", request(1), upstream("elsewhere"), 100);
        otherPart.received("own", section(ownPart), now);
        assertTrue(other.refuses("t", request(1)));
        assertFalse(own.refuses("t", request(1)));
        ownPart.received("other", section(otherPart), now);
        assertTrue(own.refuses("t", request(1)));
    }

    @Example
    void newIncarnationOfAPeerReceivesAllSuspects() throws IOException {
        for (int request = 1; request <= 20; request++) {
            recordEnds(own, request, 3);
        }
        now += NO_LONGER_RECENT_MILLIS;
        int withoutNewPeer = section(ownPart).body().length;
        ownPart.received("other", section(otherPart), now);
        DigestSection all = section(ownPart);
        assertTrue(all.body().length > 10 * withoutNewPeer, all.body().length + " bytes");
        otherPart.received("own", all, now);
        for (int request = 1; request <= 20; request++) {
            assertTrue(other.refuses("t", request(request)));
        }
    }

    @Example
    void suspectsWithoutRecentEndsAreReportedInRotation() throws IOException {
        recordEnds(own, 1, 3);
        recordEnds(own, 2, 3);
        now += NO_LONGER_RECENT_MILLIS;
        for (int round = 0; round < 2; round++) {
            otherPart.received("own", section(ownPart), now);
            now += ClusterView.DIGEST_INTERVAL_MILLIS;
        }
        assertTrue(other.refuses("t", request(1)));
        assertTrue(other.refuses("t", request(2)));
    }

    @Example
    void sectionSizeIsBoundedForAnyNumberOfSuspects() {
        for (int request = 1; request <= 1_000; request++) {
            recordEnds(own, request, 1);
        }
        assertTrue(section(ownPart).body().length <= DigestSection.MAX_BODY_BYTES);
    }

    @Example
    void invalidSectionIsRefusedAsAWhole() {
        DigestSection shortOne = new DigestSection("crashes", 1, 0, new byte[3]);
        assertThrows(IOException.class, () -> ownPart.received("p", shortOne, now));
        byte[] tooManyEnds = new byte[8 + 13];
        tooManyEnds[8 + 12] = 100;
        DigestSection invalid = new DigestSection("crashes", 1, 0, tooManyEnds);
        assertThrows(IOException.class, () -> ownPart.received("p", invalid, now));
        assertEquals(0, own.ledger().size());
    }

    @Example
    void liftByAnOperatorIsReportedToPeers() throws IOException {
        recordEnds(own, 1, 3);
        otherPart.received("own", section(ownPart), now);
        now += 1_000;
        assertTrue(other.lift(new RequestTrait(1)));
        ownPart.received("other", section(otherPart), now);
        assertFalse(own.refuses("t", request(1)));
    }

    @Example
    void newlyRefusedRequestIsReportedOnce() throws IOException {
        List<RequestTrait> reported = new ArrayList<>();
        other.onRefused(reported::add);
        recordEnds(own, 1, 3);
        otherPart.received("own", section(ownPart), now);
        otherPart.received("own", section(ownPart), now);
        assertEquals(List.of(new RequestTrait(1)), reported);
    }

    /**
     * Each of three processes records one end and then a complete run of the request, before it
     * receives the reports of the others.
     */
    @Example
    void completeRunsBetweenEndsKeepARequestServed() throws IOException {
        List<CrashPart> reporters = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            CrashWatch watch = watch();
            watch.recordEnd("t", request(1), upstream("w" + i), 50);
            now += 20;
            watch.ranToCompletion(request(1));
            now += 20;
            reporters.add(new CrashPart(watch, 10 + i));
        }
        for (CrashPart reporter : reporters) {
            otherPart.received("teller" + reporters.indexOf(reporter), section(reporter), now);
        }
        assertFalse(other.refuses("t", request(1)));
    }
}
