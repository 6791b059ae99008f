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
package io.trailladder.entry.serve;

import io.trailladder.core.claim.Claim;
import io.trailladder.core.claim.ClaimAction;
import io.trailladder.core.claim.ClaimAction.AllKept;
import io.trailladder.core.claim.ClaimAction.Answer;
import io.trailladder.core.claim.ClaimAction.CopyAnswer;
import io.trailladder.core.claim.ClaimAction.CopyClaim;
import io.trailladder.core.claim.ClaimAction.Propose;
import io.trailladder.core.claim.ClaimAction.SendAll;
import io.trailladder.core.claim.ClaimKey;
import io.trailladder.core.claim.ClaimRegistry;
import io.trailladder.core.claim.ClaimReply;
import io.trailladder.core.claim.ClaimReply.Verdict;
import io.trailladder.core.claim.RangeAssignment;
import io.trailladder.core.claim.RangeMap;
import io.trailladder.core.claim.RangePlanner;
import io.trailladder.entry.peer.Peers;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.ClaimAll;
import io.trailladder.wire.PeerMessage.ClaimAllKept;
import io.trailladder.wire.PeerMessage.ClaimAnswer;
import io.trailladder.wire.PeerMessage.ClaimCopied;
import io.trailladder.wire.PeerMessage.ClaimCopy;
import io.trailladder.wire.PeerMessage.ClaimRelease;
import io.trailladder.wire.PeerMessage.ClaimRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Obtains claims for this entry's at-most-once requests, and carries out the actions of the claim
 * registry for the ranges that this entry owns or backs up.
 *
 * @since 0.1
 */
public final class ClaimService {
    /** Maximum time an owner may take to reply, in milliseconds. */
    public static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final String self;
    private final Peers links;
    private final ClaimRegistry registry;
    private final RangePlanner planner;
    private final long retentionMillis;
    private final Map<String, CompletableFuture<ClaimReply>> pendingReplies =
            new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param self this entry's name
     * @param links sends messages to peers
     * @param ranges number of ranges that the keys are split into
     * @param capacity maximum number of claims that this entry keeps
     * @param retentionMillis time for which claims are kept, in milliseconds
     */
    public ClaimService(String self, Peers links, int ranges, int capacity, long retentionMillis) {
        this.self = self;
        this.links = links;
        this.retentionMillis = retentionMillis;
        this.registry = new ClaimRegistry(self, ranges, capacity, retentionMillis);
        this.planner = new RangePlanner(self, registry, retentionMillis);
    }

    /**
     * Requests the claim of a key from its owner.
     *
     * @param key key of the request
     * @param fingerprint hash of the request's content
     * @param requestId name of this claim request, which must not have been used before
     * @return the owner's reply; {@code UNAVAILABLE} if the owner cannot decide or did not reply in
     *     time, in which case the claim has been released
     */
    public CompletableFuture<ClaimReply> claim(ClaimKey key, long fingerprint, String requestId) {
        long expires = System.currentTimeMillis() + retentionMillis;
        Claim claim = new Claim(key, fingerprint, self, requestId, expires);
        CompletableFuture<ClaimReply> reply = new CompletableFuture<>();
        pendingReplies.put(requestId, reply);
        String owner = owner(key);
        if (owner.equals(self)) {
            handleRequest(claim);
        } else if (!links.send(owner, new ClaimRequest(claim))) {
            reply.complete(ClaimReply.of(Verdict.UNAVAILABLE));
        }
        return reply.completeOnTimeout(
                        ClaimReply.of(Verdict.UNAVAILABLE),
                        ANSWER_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS)
                .whenComplete(
                        (completed, failure) -> {
                            pendingReplies.remove(requestId);
                            if (completed.verdict() == Verdict.UNAVAILABLE) {
                                release(key, requestId);
                            }
                        });
    }

    /**
     * Releases a claim that was certainly not used.
     *
     * @param key the claim's key
     * @param requestId name under which it was requested
     */
    public void release(ClaimKey key, String requestId) {
        String owner = owner(key);
        if (owner.equals(self)) {
            handleRelease(new ClaimRelease(key, requestId));
        } else {
            links.send(owner, new ClaimRelease(key, requestId));
        }
    }

    /**
     * Handles a message from a peer.
     *
     * @param from the peer
     * @param message the message
     * @return true if the message concerns claims, false if it was not handled
     */
    public boolean received(EntryInfo from, PeerMessage message) {
        if (message instanceof ClaimRequest ask) {
            handleRequest(ask.claim());
        } else if (message instanceof ClaimAnswer answer) {
            completeReply(answer.requestId(), answer.reply());
        } else if (message instanceof ClaimCopy copy) {
            perform(locked(r -> r.copyClaim(from.id(), copy.range(), copy.epoch(), copy.claim())));
        } else if (message instanceof ClaimCopied copied) {
            CopyAnswer answer =
                    new CopyAnswer(
                            self,
                            copied.range(),
                            copied.epoch(),
                            copied.key(),
                            copied.requestId(),
                            copied.kept());
            perform(locked(r -> r.copyAnswered(answer)));
        } else if (message instanceof ClaimAll all) {
            perform(locked(r -> r.receiveAll(from.id(), all.range(), all.epoch(), all.claims())));
        } else if (message instanceof ClaimAllKept kept) {
            synchronized (registry) {
                registry.allKept(kept.range(), kept.epoch());
            }
        } else if (message instanceof ClaimRelease release) {
            handleRelease(release);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Applies a range map that was read from the platform.
     *
     * @param map the map
     */
    public void mapRead(RangeMap map) {
        perform(locked(r -> r.updateMap(map, System.currentTimeMillis())));
    }

    /**
     * Applies a range map that was received from a peer.
     *
     * @param map the map
     */
    public void mapReceived(RangeMap map) {
        perform(locked(r -> r.updateMap(map, 0)));
    }

    /**
     * Returns a number that increases with every change of the range map.
     *
     * @return the sum of all epochs
     */
    public long mapVersion() {
        return map().ranges().stream().mapToLong(RangeAssignment::epoch).sum();
    }

    /**
     * Returns the newest range map known.
     *
     * @return the map
     */
    public RangeMap map() {
        synchronized (registry) {
            return registry.map();
        }
    }

    /**
     * Stops granting claims and keeping copies for the ranges that a proposal changes, which must
     * happen before the proposal is made.
     *
     * @param proposal the proposal, not yet made
     */
    public void seal(Propose proposal) {
        synchronized (registry) {
            registry.seal(proposal);
        }
    }

    /**
     * Plans the next change of the range map.
     *
     * @param view the state of the other entries
     * @return the change to propose; empty if none is needed
     */
    public Optional<Propose> plan(RangePlanner.View view) {
        synchronized (registry) {
            return planner.plan(view, System.currentTimeMillis());
        }
    }

    /** Sends the copies that backups have not confirmed, and removes expired claims. */
    public void maintain() {
        perform(
                locked(
                        r -> {
                            r.expire(System.currentTimeMillis());
                            return r.sendMissingCopies();
                        }));
    }

    /**
     * Returns the number of claims kept.
     *
     * @return a count
     */
    public int size() {
        synchronized (registry) {
            return registry.size();
        }
    }

    /**
     * Returns the number of ranges that this entry owns.
     *
     * @return a count
     */
    public int ownedRanges() {
        return (int) map().ranges().stream().filter(r -> r.owner().equals(self)).count();
    }

    private void handleRequest(Claim claim) {
        perform(locked(r -> r.request(claim, System.currentTimeMillis())));
    }

    private void handleRelease(ClaimRelease release) {
        synchronized (registry) {
            registry.release(release.key(), release.requestId());
        }
    }

    private void completeReply(String requestId, ClaimReply reply) {
        CompletableFuture<ClaimReply> pending = pendingReplies.get(requestId);
        if (pending != null) {
            pending.complete(reply);
        }
    }

    private String owner(ClaimKey key) {
        RangeMap map = map();
        return map.get(key.range(map.ranges().size())).owner();
    }

    private interface Step {
        List<ClaimAction> run(ClaimRegistry registry);
    }

    private List<ClaimAction> locked(Step step) {
        synchronized (registry) {
            return step.run(registry);
        }
    }

    private void perform(List<ClaimAction> actions) {
        actions.forEach(this::perform);
    }

    private void perform(ClaimAction action) {
        if (action instanceof Answer answer) {
            if (answer.holder().equals(self)) {
                completeReply(answer.requestId(), answer.reply());
            } else {
                links.send(answer.holder(), new ClaimAnswer(answer.requestId(), answer.reply()));
            }
        } else if (action instanceof CopyClaim copy) {
            links.send(copy.backup(), new ClaimCopy(copy.range(), copy.epoch(), copy.claim()));
        } else if (action instanceof CopyAnswer copied) {
            links.send(
                    copied.owner(),
                    new ClaimCopied(
                            copied.range(),
                            copied.epoch(),
                            copied.key(),
                            copied.requestId(),
                            copied.kept()));
        } else if (action instanceof SendAll all) {
            links.send(all.backup(), new ClaimAll(all.range(), all.epoch(), all.claims()));
        } else if (action instanceof AllKept kept) {
            links.send(kept.owner(), new ClaimAllKept(kept.range(), kept.epoch()));
        }
    }
}
