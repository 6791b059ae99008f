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
import io.trailladder.wire.PeerMessage.ClaimRequest;
import io.trailladder.wire.PeerMessage.ClaimCopied;
import io.trailladder.wire.PeerMessage.ClaimCopy;
import io.trailladder.wire.PeerMessage.ClaimRelease;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Obtains claims for this entry's at-most-once requests, and carries out what the claim registry
 * decides for the ranges this entry owns or backs up.
 *
 * @since 0.1
 */
public final class ClaimService {
    /** How long an owner may take to answer, in milliseconds. */
    public static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final String self;
    private final Peers links;
    private final ClaimRegistry registry;
    private final RangePlanner planner;
    private final long retentionMillis;
    private final Map<String, CompletableFuture<ClaimReply>> pendingReplies = new ConcurrentHashMap<>();

    /**
     * Creates the service.
     *
     * @param self this entry's name
     * @param links reaches peers
     * @param ranges how many ranges keys are split into
     * @param capacity how many claims this entry may keep
     * @param retentionMillis how long claims are kept, in milliseconds
     */
    public ClaimService(String self, Peers links, int ranges, int capacity, long retentionMillis) {
        this.self = self;
        this.links = links;
        this.retentionMillis = retentionMillis;
        this.registry = new ClaimRegistry(self, ranges, capacity, retentionMillis);
        this.planner = new RangePlanner(self, registry, retentionMillis);
    }

    /**
     * Asks for the claim of a key.
     *
     * @param key names the request
     * @param fingerprint hash of its content
     * @param requestId this ask's name, never used before
     * @return the owner's answer; {@code UNAVAILABLE} if none came in time, and then the claim was
     *     given up
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
                        ClaimReply.of(Verdict.UNAVAILABLE), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (answer, failure) -> {
                            pendingReplies.remove(requestId);
                            if (answer.verdict() == Verdict.UNAVAILABLE) {
                                release(key, requestId);
                            }
                        });
    }

    /**
     * Gives up a claim that was certainly not used.
     *
     * @param key the claim's key
     * @param requestId the ask's name
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
     * Takes a message from a peer.
     *
     * @param from the peer
     * @param message the message
     * @return true if it was about claims
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
     * Takes over a range map that was read from the platform.
     *
     * @param map the map
     */
    public void mapRead(RangeMap map) {
        perform(locked(r -> r.updateMap(map, System.currentTimeMillis())));
    }

    /**
     * Takes over a range map that a peer sent.
     *
     * @param map the map
     */
    public void mapReceived(RangeMap map) {
        perform(locked(r -> r.updateMap(map, 0)));
    }

    /**
     * Returns a number that grows with every change of the range map.
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
     * Stops granting claims of the ranges that a proposal changes.
     *
     * @param proposal the proposal, about to be made
     */
    public void seal(Propose proposal) {
        synchronized (registry) {
            registry.seal(proposal);
        }
    }

    /**
     * Plans the next change of the range map.
     *
     * @param view the other entries
     * @return the change to be proposed
     */
    public Optional<Propose> plan(RangePlanner.View view) {
        synchronized (registry) {
            return planner.plan(view, System.currentTimeMillis());
        }
    }

    /** Sends copies that are still missing, and forgets claims whose time is over. */
    public void maintain() {
        perform(
                locked(
                        r -> {
                            r.expire(System.currentTimeMillis());
                            return r.sendMissingCopies();
                        }));
    }

    /**
     * Returns how many claims are kept.
     *
     * @return a count
     */
    public int size() {
        synchronized (registry) {
            return registry.size();
        }
    }

    /**
     * Returns how many ranges this entry owns.
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
        CompletableFuture<ClaimReply> waiting = pendingReplies.get(requestId);
        if (waiting != null) {
            waiting.complete(reply);
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
