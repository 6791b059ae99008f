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
package io.trailladder.entry.sync;

import io.trailladder.core.membership.LocalUpstream;
import io.trailladder.core.membership.UpstreamState;
import io.trailladder.core.table.Row;
import io.trailladder.core.table.TargetKind;
import io.trailladder.entry.MonotonicClock;
import io.trailladder.entry.PeriodicTasks;
import io.trailladder.entry.peer.PeerLinks;
import io.trailladder.entry.serve.EngineApi;
import io.trailladder.entry.serve.Placements;
import io.trailladder.entry.serve.RowPolicies;
import io.trailladder.platform.CloudApi;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.LeavingNotice;
import io.trailladder.wire.PeerMessage.Notice;
import io.trailladder.wire.PeerMessage.UpstreamList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Keeps the upstreams known to this entry up to date. One entry of a data centre reads the instance
 * list for all, two wait for notices, and every entry queries the load of some engines.
 *
 * <p>A notice is sent to all entries of the data centre at once. The list lags behind, so it never
 * cancels a notice.
 *
 * @since 0.1
 */
public final class FleetSync {
    /** The remaining time assumed for an instance that only the list reports as leaving, in ms. */
    public static final long LISTED_NOTICE_MILLIS = 1_000;

    private static final long TICK_MILLIS = 500;
    private static final long LIST_MAX_AGE_MILLIS = 4_000;
    private static final long LIST_INTERVAL_MILLIS = 1_000;
    private static final int NOTICE_READERS = 2;
    private static final long NOTICE_TIMEOUT_MILLIS = 10_000;
    private static final int LOADS_PER_TICK = 20;

    private final CloudApi cloud;
    private final Placements placements;
    private final EngineApi engines;
    private final RowPolicies policies;
    private final PeerLinks links;
    private final Members members;
    private final EntryInfo self;
    private final NoticeListener listener;
    private final ScheduledExecutorService timer;
    private volatile long listedMillis = Long.MIN_VALUE / 2;
    private volatile long listRequestedMillis = Long.MIN_VALUE / 2;
    private volatile boolean stopped;
    private long nextNotice;

    /** Receives the instances that begin to leave, including this entry's own. */
    public interface NoticeListener {
        /**
         * Called when an instance begins to leave.
         *
         * @param instance the name of the instance
         * @param remainingMillis how long it will still run, in milliseconds
         */
        void leaving(String instance, long remainingMillis);
    }

    /**
     * Creates the sync.
     *
     * @param cloud the cloud's API
     * @param placements receives upstreams and loads
     * @param engines queries the load of engines
     * @param policies provides which targets are models
     * @param links sends to peers
     * @param members provides the rank of this entry
     * @param self the description of this entry
     * @param listener receives the instances that begin to leave
     * @param timer runs the periodic tasks
     */
    public FleetSync(
            CloudApi cloud,
            Placements placements,
            EngineApi engines,
            RowPolicies policies,
            PeerLinks links,
            Members members,
            EntryInfo self,
            NoticeListener listener,
            ScheduledExecutorService timer) {
        this.cloud = cloud;
        this.placements = placements;
        this.engines = engines;
        this.policies = policies;
        this.links = links;
        this.members = members;
        this.self = self;
        this.listener = listener;
        this.timer = timer;
    }

    /** Starts the periodic task and waiting for notices. */
    public void start() {
        PeriodicTasks.repeat(timer, "fleet", this::tick, TICK_MILLIS);
        waitForNotices();
    }

    /** Stops waiting for notices. */
    public void stop() {
        stopped = true;
    }

    /**
     * Applies the instance list from a peer of this data centre.
     *
     * @param list the list
     */
    public void received(UpstreamList list) {
        listed(list.listed(), list.leaving());
    }

    /**
     * Applies notices from a peer.
     *
     * @param notice the notices
     */
    public void received(LeavingNotice notice) {
        notice.notices().forEach(this::noticed);
    }

    private void tick() {
        long now = MonotonicClock.millis();
        boolean reader = members.rank("instances") == 0;
        boolean due = now - listRequestedMillis >= LIST_INTERVAL_MILLIS;
        boolean stale = now - listedMillis >= LIST_MAX_AGE_MILLIS;
        if (due && (reader || stale)) {
            listRequestedMillis = now;
            cloud.instances().thenAccept(this::read);
        }
        queryLoads();
        placements.placeWaiting();
    }

    private void read(CloudApi.InstanceList list) {
        List<LocalUpstream> here =
                list.upstreams().stream()
                        .filter(upstream -> upstream.dataCentre().equals(self.dataCentre()))
                        .toList();
        Set<String> names = here.stream().map(LocalUpstream::id).collect(Collectors.toSet());
        List<String> leaving = list.leaving().stream().filter(names::contains).toList();
        listed(here, leaving);
        toDataCentre(new UpstreamList(here, leaving));
    }

    private void listed(List<LocalUpstream> upstreams, List<String> leaving) {
        listedMillis = MonotonicClock.millis();
        for (LocalUpstream upstream : placements.applyList(upstreams, leaving)) {
            listener.leaving(upstream.id(), LISTED_NOTICE_MILLIS);
        }
        placements.placeWaiting();
    }

    private void waitForNotices() {
        if (stopped) {
            return;
        }
        if (members.rank("notices") >= NOTICE_READERS) {
            timer.schedule(this::waitForNotices, TICK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        cloud.notices(nextNotice, NOTICE_TIMEOUT_MILLIS)
                .whenComplete(
                        (notices, failure) -> {
                            long delay = failure == null ? 1 : TICK_MILLIS;
                            if (failure == null) {
                                nextNotice = notices.next();
                                distribute(notices.notices());
                            }
                            timer.schedule(this::waitForNotices, delay, TimeUnit.MILLISECONDS);
                        });
    }

    private void distribute(List<CloudApi.Notice> notices) {
        List<Notice> updates = new ArrayList<>();
        for (CloudApi.Notice notice : notices) {
            updates.add(new Notice(notice.id(), notice.remainingMillis()));
        }
        if (!updates.isEmpty()) {
            toDataCentre(new LeavingNotice(updates));
            updates.forEach(this::noticed);
        }
    }

    private void noticed(Notice notice) {
        if (placements.noticeReceived(notice.upstream())) {
            listener.leaving(notice.upstream(), notice.remainingMillis());
        }
    }

    private void toDataCentre(PeerMessage message) {
        for (EntryInfo peer : links.live()) {
            if (peer.dataCentre().equals(self.dataCentre())) {
                links.send(peer.id(), message);
            }
        }
    }

    private void queryLoads() {
        Set<String> models =
                policies.table().rows().stream()
                        .filter(row -> row.kind() == TargetKind.MODEL)
                        .map(Row::target)
                        .collect(Collectors.toSet());
        List<UpstreamState> all =
                new ArrayList<>(
                        placements.states().stream()
                                .filter(state -> models.contains(state.upstream().target()))
                                .toList());
        Collections.shuffle(all, ThreadLocalRandom.current());
        for (UpstreamState state : all.subList(0, Math.min(LOADS_PER_TICK, all.size()))) {
            String id = state.upstream().id();
            engines.load(state.upstream())
                    .thenAccept(report -> placements.loadReported(id, report));
        }
    }
}
