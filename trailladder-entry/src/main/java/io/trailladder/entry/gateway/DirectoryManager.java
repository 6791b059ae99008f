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
 * Maintains the list of upstreams from the store, or from peers while the store cannot be reached.
 *
 * @since 0.2
 */
public final class DirectoryManager implements StoreWatcher.Listener {
    private static final byte[] NO_BYTES = {};

    /** Maximum length of an entry, in bytes; upstreams write some hundred. */
    private static final int MAX_ENTRY_BYTES = 4_096;

    /** Maximum length of a value that is kept though it names no upstream, in bytes. */
    private static final int MAX_UNUSABLE_BYTES = 64;

    /** Stands for an empty value, and for a longer one that names no upstream. */
    private static final byte[] UNUSABLE_VALUE = {0};

    /**
     * How long entries that expired while the store was unreachable may take to reappear, in
     * milliseconds: about two seconds by the platform's contract, plus a message's latency.
     */
    static final long REAPPEARANCE_MILLIS = 2_200;

    private final PlatformFormat format;
    private final UpstreamDirectory directory;
    private final LongSupplier nowMillis;
    private final Consumer<Runnable> afterReappearance;
    private final List<Consumer<Upstream>> onLeaving = new ArrayList<>();
    private final Map<String, byte[]> entries = new HashMap<>();
    private final UnusableEntries unusable = new UnusableEntries("upstream");
    private final RemovedEntries removedEntries = new RemovedEntries();
    private Consumer<UpstreamUpdate> onUpdate = update -> {};
    private Consumer<UpstreamUpdate> onIgnoredUpdate = update -> {};
    private long revision;
    private boolean known;
    private long confirmedMillis;
    private long reappearUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a manager without a list.
     *
     * @param format decodes entries
     * @param directory the directory to update
     * @param nowMillis supplies the time, in milliseconds
     * @param afterReappearance runs a task {@value #REAPPEARANCE_MILLIS} milliseconds later
     */
    public DirectoryManager(
            PlatformFormat format,
            UpstreamDirectory directory,
            LongSupplier nowMillis,
            Consumer<Runnable> afterReappearance) {
        this.format = format;
        this.directory = directory;
        this.nowMillis = nowMillis;
        this.afterReappearance = afterReappearance;
    }

    /**
     * Begins a period of {@value #REAPPEARANCE_MILLIS} milliseconds in which missing entries do not
     * yet count as removed: entries expire while the store is unreachable, though their upstreams
     * run.
     */
    public void storeRegained() {
        reappearUntilMillis = nowMillis.getAsLong() + REAPPEARANCE_MILLIS;
        afterReappearance.accept(this::dropMissing);
    }

    /**
     * Makes the next list from the store or a peer count as newer than the current one, whatever
     * its revision, since the store's history was replaced. Entries that are missing there may
     * reappear.
     */
    public void historyReplaced() {
        revision = 0;
        removedEntries.historyReplaced();
        storeRegained();
        afterReappearance.accept(() -> afterReappearance.accept(this::trustAllEntries));
    }

    /**
     * Returns whether a list was ever received.
     *
     * @return true if a list is known
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns whether the list may contain upstreams that have ended: the store was unreachable,
     * and their entries may still reappear.
     *
     * @return false if the list is the same as in the store
     */
    public boolean awaitsReappearance() {
        return nowMillis.getAsLong() < reappearUntilMillis;
    }

    /**
     * Adds a listener that is called with every upstream that begins to leave or is removed.
     *
     * @param listener the listener
     */
    public void onLeaving(Consumer<Upstream> listener) {
        onLeaving.add(listener);
    }

    /**
     * Sets the listener that is called with every change from the store or a peer.
     *
     * @param listener the listener
     */
    public void onUpdate(Consumer<UpstreamUpdate> listener) {
        onUpdate = listener;
    }

    /**
     * Sets the listener that is called with every change from a peer that differs from the list but
     * is ignored, because the list counts as newer.
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
     * Returns how long ago the store, or a peer that forwards its changes, last showed that the
     * list is current.
     *
     * @return the age, in milliseconds
     */
    public long ageMillis() {
        return nowMillis.getAsLong() - confirmedMillis;
    }

    @Override
    public void listed(List<StoreItem> items, long atRevision) {
        Map<String, byte[]> listed = new HashMap<>();
        items.forEach(item -> listed.put(idOf(item.key()), valueOf(item)));
        replaceAll(listed, atRevision, "store");
    }

    @Override
    public void changed(StoreItem item) {
        long before = revision;
        revision = Math.max(revision, item.revision());
        String id = idOf(item.key());
        apply(id, item.removed() ? NO_BYTES : valueOf(item));
        byte[] kept = entries.getOrDefault(id, NO_BYTES);
        onUpdate.accept(new UpstreamUpdate(before, revision, new UpstreamEntry(id, kept)));
    }

    /** Returns the value of an entry that exists: between processes, an empty one is a removal. */
    private static byte[] valueOf(StoreItem item) {
        return item.value().length == 0 ? UNUSABLE_VALUE : item.value();
    }

    @Override
    public boolean follows(String key) {
        return key.length() > format.upstreamPrefix().length();
    }

    @Override
    public int maxValueBytes() {
        return MAX_ENTRY_BYTES;
    }

    /**
     * Applies a change from a peer if no earlier change is missing in the list.
     *
     * @param update the change
     */
    public void applyFromPeer(UpstreamUpdate update) {
        if (update.after() <= revision && update.revision() > revision) {
            revision = update.revision();
            confirmedCurrent();
            apply(update.upstream().id(), update.upstream().value());
            onUpdate.accept(update);
        } else if (update.revision() <= revision && differs(update.upstream())) {
            onIgnoredUpdate.accept(update);
        }
    }

    private boolean differs(UpstreamEntry entry) {
        byte[] known = entries.getOrDefault(entry.id(), NO_BYTES);
        boolean bothUnusable =
                isUnusable(known)
                        && entry.value().length > 0
                        && format.upstream(entry.id(), entry.value()).isLeft();
        return !bothUnusable && !Arrays.equals(known, entry.value());
    }

    private static boolean isUnusable(byte[] value) {
        return Arrays.equals(value, UNUSABLE_VALUE);
    }

    private void apply(String id, byte[] value) {
        if (value.length == 0) {
            rememberRemoved(id, entries.remove(id));
            unusable.remove(id);
            if (!mayReappear(id)) {
                directory.removed(id).ifPresent(upstream -> notifyLeaving(upstream, "removed"));
            }
            return;
        }
        removedEntries.recordWritten(id);
        readAndKeep(id, value).ifPresent(this::changed);
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
     * Applies a peer's list if it is newer.
     *
     * @param upstreams the entries
     * @param peerRevision the revision of the peer's list
     * @param peer the peer's name
     * @return true if the peer's list is newer and its entries differ from the current ones
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
     * Records that a peer reports an upstream as leaving.
     *
     * @param reported the incarnation that leaves
     * @param peer the peer's name
     */
    public void leavingReportedBy(LeavingUpstream reported, String peer) {
        directory
                .leaving(reported)
                .ifPresent(upstream -> notifyLeaving(upstream, "draining, reported by " + peer));
    }

    /**
     * Records that an upstream has announced in an answer that it leaves.
     *
     * @param upstream the upstream
     * @return true if it was not known to leave before
     */
    public boolean leavingAnnouncedBy(Upstream upstream) {
        boolean knownBefore = directory.isLeaving(upstream.id());
        directory
                .leaving(new LeavingUpstream(upstream.id(), upstream.startedMillis()))
                .ifPresent(known -> notifyLeaving(known, "draining, announced in an answer"));
        return !knownBefore && directory.isLeaving(upstream.id());
    }

    /**
     * Returns which incarnation of a listed upstream leaves.
     *
     * @param id the upstream's name
     * @return the incarnation; empty if the upstream is not listed or does not leave
     */
    public Optional<LeavingUpstream> leavingIncarnation(String id) {
        return directory.find(id).isEmpty() ? Optional.empty() : directory.leavingIncarnation(id);
    }

    /**
     * Returns a listed upstream, whether it leaves or not.
     *
     * @param id its name
     * @return the upstream; empty if it is not listed
     */
    public Optional<Upstream> find(String id) {
        return directory.find(id);
    }

    /**
     * Returns all listed upstreams, including leaving ones.
     *
     * @return a copy
     */
    public List<Upstream> all() {
        return directory.all();
    }

    /**
     * Returns whether an upstream has announced that it leaves.
     *
     * @param id the upstream's name
     * @return false also if its entry was removed without an announcement
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
     * Returns the entries as the platform wrote them.
     *
     * @return a copy of the list
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
        unusable.retain(listed.keySet());
        List<Upstream> upstreams = new ArrayList<>();
        listed.forEach(
                (id, value) -> {
                    if (removedEntries.isSuspect(id, value)) {
                        entries.put(id, value);
                    } else {
                        readAndKeep(id, value).ifPresent(upstreams::add);
                    }
                });
        DecisionLog.write(new Belief("upstreams", upstreams.size() + " listed", source, revision));
        directory.all().stream()
                .filter(
                        upstream ->
                                !entries.containsKey(upstream.id()) && mayReappear(upstream.id()))
                .forEach(upstreams::add);
        directory
                .replaceAll(upstreams)
                .forEach(upstream -> notifyLeaving(upstream, "leaving or removed, by list"));
    }

    private Optional<Upstream> readAndKeep(String id, byte[] value) {
        Optional<Upstream> upstream = read(id, value);
        boolean kept = upstream.isPresent() || value.length <= MAX_UNUSABLE_BYTES;
        entries.put(id, kept ? value : UNUSABLE_VALUE);
        return upstream;
    }

    private Optional<Upstream> read(String id, byte[] value) {
        Either<String, Upstream> upstream =
                isUnusable(value)
                        ? Either.left("value is empty or unusable")
                        : format.upstream(id, value);
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

    /**
     * Trusts all entries again: by now every running upstream has written its entry anew, and other
     * entries have expired.
     */
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
     * Removes an upstream whose entry is unusable from the directory, whatever the entry was
     * before. This is not an end of the upstream: its requests continue, and no listener is called.
     */
    private void unusable(String id, String fault) {
        directory.removed(id);
        unusable.add(id, revision, fault, nowMillis.getAsLong());
    }

    /**
     * Returns how many entries name no upstream because they are unusable.
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
                directory
                        .removed(upstream.id())
                        .ifPresent(
                                removed ->
                                        notifyLeaving(removed, "removed, entry did not reappear"));
            }
        }
    }

    private void notifyLeaving(Upstream upstream, String state) {
        DecisionLog.write(new Belief("upstream " + upstream.id(), state, "store", revision));
        onLeaving.forEach(listener -> listener.accept(upstream));
    }

    private String idOf(String key) {
        return key.substring(format.upstreamPrefix().length());
    }
}
