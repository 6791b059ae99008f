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

import io.trailladder.core.upstream.LeavingUpstream;
import io.trailladder.core.upstream.Upstream;
import io.trailladder.core.upstream.UpstreamDirectory;
import io.trailladder.entry.gateway.DecisionLog.Belief;
import io.trailladder.entry.port.PlatformFormat;
import io.trailladder.entry.port.StoreItem;
import io.trailladder.wire.NodeMessage.UpstreamEntry;
import io.trailladder.wire.NodeMessage.UpstreamUpdate;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The list of upstreams as the store tells it, or as a peer does while the store cannot be reached.
 *
 * @since 0.2
 */
public final class DirectoryManager implements StoreWatcher.Listener {
    private static final byte[] NO_BYTES = {};

    /**
     * How long entries that lapsed while the store was away may take to come back, in milliseconds:
     * about two seconds by the platform's contract, and a message's way.
     */
    static final long REAPPEARANCE_MILLIS = 2_200;

    private final PlatformFormat format;
    private final UpstreamDirectory directory;
    private final LongSupplier nowMillis;
    private final Consumer<Runnable> afterReappearance;
    private final List<Consumer<Upstream>> onLeaving = new ArrayList<>();
    private final Map<String, byte[]> entries = new HashMap<>();
    private final UnusableEntries unusable = new UnusableEntries();
    private final RemovedEntries removedEntries = new RemovedEntries();
    private Consumer<UpstreamUpdate> onUpdate = news -> {};
    private Consumer<UpstreamUpdate> onIgnoredUpdate = news -> {};
    private long revision;
    private boolean known;
    private long confirmedMillis;
    private long reappearUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a keeper.
     *
     * @param format how entries are written
     * @param directory the directory to keep
     * @param nowMillis tells the time
     * @param afterReturn runs a task {@value #RETURN_MILLIS} milliseconds later
     */
    public DirectoryManager(
            PlatformFormat format,
            UpstreamDirectory directory,
            LongSupplier nowMillis,
            Consumer<Runnable> afterReturn) {
        this.format = format;
        this.directory = directory;
        this.nowMillis = nowMillis;
        this.afterReappearance = afterReturn;
    }

    /**
     * Has entries that are missing from now on taken for gone only if they do not come back soon:
     * the store was away, and entries lapse meanwhile though their upstreams live.
     */
    public void storeRegained() {
        reappearUntilMillis = nowMillis.getAsLong() + REAPPEARANCE_MILLIS;
        afterReappearance.accept(this::dropMissing);
    }

    /**
     * Has the next list, from the store or a peer, count as newer than the one here, whatever its
     * revision: the store's history is another one. Entries that are missing there may come back.
     */
    public void historyReplaced() {
        revision = 0;
        removedEntries.historyReplaced();
        storeRegained();
        afterReappearance.accept(() -> afterReappearance.accept(this::trustAllEntries));
    }

    /**
     * Tells whether a list was ever read.
     *
     * @return true if upstreams are known
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Tells whether the list holds upstreams that may be gone: the store was away, and it is not
     * yet clear which of them come back.
     *
     * @return false if the list is what the store has
     */
    public boolean awaitsReappearance() {
        return nowMillis.getAsLong() < reappearUntilMillis;
    }

    /**
     * Has a listener told of every upstream that begins to leave or is gone.
     *
     * @param listener the listener
     */
    public void onLeaving(Consumer<Upstream> listener) {
        onLeaving.add(listener);
    }

    /**
     * Has a listener told of every change that the store or a peer tells.
     *
     * @param listener the listener
     */
    public void onUpdate(Consumer<UpstreamUpdate> listener) {
        onUpdate = listener;
    }

    /**
     * Has a listener told of every change that a peer tells and that is not taken over, though the
     * list here differs from it, because the list counts as newer.
     *
     * @param listener the listener
     */
    public void onIgnoredUpdate(Consumer<UpstreamUpdate> listener) {
        onIgnoredUpdate = listener;
    }

    @Override
    public void confirmedCurrent() {
        confirmedMillis = nowMillis.getAsLong();
    }

    /**
     * Returns how long ago the store, or a peer that passes its changes on, last showed that the
     * list is current.
     *
     * @return a time, in milliseconds
     */
    public long ageMillis() {
        return nowMillis.getAsLong() - confirmedMillis;
    }

    @Override
    public void listed(List<StoreItem> items, long atRevision) {
        Map<String, byte[]> listed = new HashMap<>();
        items.forEach(item -> listed.put(idOf(item.key()), item.value()));
        replaceAll(listed, atRevision, "store");
    }

    @Override
    public void changed(StoreItem item) {
        long before = revision;
        revision = Math.max(revision, item.revision());
        String id = idOf(item.key());
        byte[] value = item.removed() ? NO_BYTES : item.value();
        apply(id, value);
        onUpdate.accept(new UpstreamUpdate(before, revision, new UpstreamEntry(id, value)));
    }

    /**
     * Takes over a change that a peer tells, if nothing between it and the list here is missing.
     *
     * @param news the change
     */
    public void applyFromPeer(UpstreamUpdate news) {
        if (news.after() <= revision && news.revision() > revision) {
            revision = news.revision();
            confirmedCurrent();
            apply(news.upstream().id(), news.upstream().value());
            onUpdate.accept(news);
        } else if (news.revision() <= revision && differs(news.upstream())) {
            onIgnoredUpdate.accept(news);
        }
    }

    private boolean differs(UpstreamEntry told) {
        return !Arrays.equals(entries.getOrDefault(told.id(), NO_BYTES), told.value());
    }

    private void apply(String id, byte[] value) {
        if (value.length == 0) {
            rememberRemoved(id, entries.remove(id));
            unusable.remove(id);
            if (!mayReappear(id)) {
                directory.removed(id).ifPresent(upstream -> notifyLeaving(upstream, "gone"));
            }
            return;
        }
        entries.put(id, value);
        removedEntries.recordWritten(id);
        read(id, value).ifPresent(this::changed);
    }

    private void changed(Upstream upstream) {
        boolean isNew = directory.find(upstream.id()).isEmpty();
        directory.changed(upstream).ifPresent(leaving -> notifyLeaving(leaving, "draining"));
        if (isNew) {
            DecisionLog.write(
                    new Belief("upstream " + upstream.id(), upstream.address(), "store", revision));
        }
    }

    /**
     * Takes a peer's list over if it is newer.
     *
     * @param upstreams the entries
     * @param peerRevision the revision of the peer's list
     * @param peer the peer's name
     * @return true if it says something else than the list here did
     */
    public boolean applyFromPeer(List<UpstreamEntry> upstreams, long peerRevision, String peer) {
        if (peerRevision <= revision) {
            return false;
        }
        Map<String, byte[]> listed = new HashMap<>();
        upstreams.forEach(entry -> listed.put(entry.id(), entry.value()));
        boolean same =
                listed.size() == entries.size() && upstreams.stream().noneMatch(this::differs);
        if (same && known) {
            revision = peerRevision;
        } else {
            replaceAll(listed, peerRevision, peer);
        }
        return !same;
    }

    /**
     * Records that a peer knows of an upstream that leaves.
     *
     * @param told the life that leaves
     * @param peer the peer's name
     */
    public void leavingReportedBy(LeavingUpstream told, String peer) {
        directory.leaving(told).ifPresent(upstream -> notifyLeaving(upstream, "draining, told by " + peer));
    }

    /**
     * Records that an upstream has said in an answer that it leaves.
     *
     * @param upstream the upstream
     * @return true if that is news
     */
    public boolean leavingAnnouncedBy(Upstream upstream) {
        boolean knownBefore = directory.isLeaving(upstream.id());
        directory
                .leaving(new LeavingUpstream(upstream.id(), upstream.startedMillis()))
                .ifPresent(known -> notifyLeaving(known, "draining, said by itself"));
        return !knownBefore && directory.isLeaving(upstream.id());
    }

    /**
     * Tells which life of an upstream leaves.
     *
     * @param id the upstream's name
     * @return the life; empty if the upstream is not listed, or does not leave
     */
    public Optional<LeavingUpstream> leavingIncarnation(String id) {
        return directory.find(id).isEmpty() ? Optional.empty() : directory.leavingIncarnation(id);
    }

    /**
     * Finds an upstream, leaving or not.
     *
     * @param id its name
     * @return the upstream
     */
    public Optional<Upstream> find(String id) {
        return directory.find(id);
    }

    /**
     * Returns all listed upstreams, leaving ones too.
     *
     * @return a copy
     */
    public List<Upstream> all() {
        return directory.all();
    }

    /**
     * Tells whether an upstream has announced that it leaves.
     *
     * @param id the upstream's name
     * @return false if its entry is only gone
     */
    public boolean isLeaving(String id) {
        return directory.isLeaving(id);
    }

    /**
     * Returns the revision of the list.
     *
     * @return the revision; 0 if no list is known
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the list as the platform wrote it.
     *
     * @return the entries
     */
    public List<UpstreamEntry> entries() {
        List<UpstreamEntry> all = new ArrayList<>();
        entries.forEach((id, value) -> all.add(new UpstreamEntry(id, value)));
        return all;
    }

    private void replaceAll(Map<String, byte[]> listed, long atRevision, String source) {
        revision = atRevision;
        known = true;
        confirmedCurrent();
        entries.forEach(
                (id, value) -> {
                    if (!listed.containsKey(id)) {
                        rememberRemoved(id, value);
                    }
                });
        entries.clear();
        entries.putAll(listed);
        unusable.retain(entries.keySet());
        List<Upstream> upstreams = new ArrayList<>();
        entries.forEach(
                (id, value) -> {
                    if (!removedEntries.isSuspect(id, value)) {
                        read(id, value).ifPresent(upstreams::add);
                    }
                });
        DecisionLog.write(new Belief("upstreams", upstreams.size() + " listed", source, revision));
        directory.all().stream()
                .filter(upstream -> !entries.containsKey(upstream.id()) && mayReappear(upstream.id()))
                .forEach(upstreams::add);
        directory.replaceAll(upstreams).forEach(upstream -> notifyLeaving(upstream, "left, by list"));
    }

    private Optional<Upstream> read(String id, byte[] value) {
        Either<String, Upstream> upstream = format.upstream(id, value);
        if (upstream.isLeft()) {
            unusable(id, upstream.getLeft());
        } else {
            unusable.remove(id);
        }
        return upstream.toJavaOptional();
    }

    private void rememberRemoved(String id, byte[] lastValue) {
        if (lastValue != null) {
            removedEntries.recordRemoved(id, lastValue);
        }
    }

    /** By now an upstream that lives has written itself again, and other entries have lapsed. */
    private void trustAllEntries() {
        removedEntries.clearSuspects();
        entries.forEach(
                (id, value) -> {
                    if (directory.find(id).isEmpty()) {
                        read(id, value).ifPresent(directory::changed);
                    }
                });
    }

    /**
     * An entry that cannot be used names no upstream, whatever it said before. That is no end of
     * the upstream: what runs there goes on, and nobody is told that it left.
     */
    private void unusable(String id, String fault) {
        directory.removed(id);
        unusable.add(id, revision, fault, nowMillis.getAsLong());
    }

    /**
     * Returns how many entries name no upstream because they cannot be used.
     *
     * @return a count
     */
    public int unusable() {
        return unusable.size();
    }

    private boolean mayReappear(String id) {
        return awaitsReappearance() && !directory.isLeaving(id);
    }

    private void dropMissing() {
        if (awaitsReappearance()) {
            return;
        }
        for (Upstream upstream : directory.all()) {
            if (!entries.containsKey(upstream.id())) {
                directory.removed(upstream.id()).ifPresent(gone -> notifyLeaving(gone, "gone, not back"));
            }
        }
    }

    private void notifyLeaving(Upstream upstream, String how) {
        DecisionLog.write(new Belief("upstream " + upstream.id(), how, "store", revision));
        onLeaving.forEach(listener -> listener.accept(upstream));
    }

    private String idOf(String key) {
        return key.substring(format.upstreamPrefix().length());
    }
}
