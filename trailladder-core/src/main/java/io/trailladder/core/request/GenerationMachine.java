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
package io.trailladder.core.request;

import io.trailladder.core.limit.RetryBudget;
import io.trailladder.core.request.Failure.Kind;
import io.trailladder.core.request.GenerationAction.Cancel;
import io.trailladder.core.request.GenerationAction.Complete;
import io.trailladder.core.request.GenerationAction.Dispatch;
import io.trailladder.core.request.GenerationAction.Emit;
import io.trailladder.core.request.GenerationAction.Export;
import io.trailladder.core.request.GenerationAction.Fail;
import io.trailladder.core.request.GenerationAction.Place;
import io.trailladder.core.request.GenerationAction.WakeAt;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * State machine of one model request from its acceptance to its final answer.
 *
 * <p>Every attempt has a number. Tokens of an earlier attempt, duplicate tokens and tokens after a
 * gap are never added to the answer. An answer is complete only when the upstream has reported its
 * length and every token up to that length has been received.
 *
 * <pre>{@code
 * GenerationMachine machine = new GenerationMachine(settings, budget, log, now);
 * perform(machine.start(now));          // Place
 * perform(machine.placed("e1", now));   // Dispatch
 * perform(machine.token(1, 0, "uno", now));
 * }</pre>
 *
 * @since 0.1
 */
public final class GenerationMachine {
    private static final long PLACEMENT_RETRY_MILLIS = 50;
    private static final long FIRST_BACKOFF_MILLIS = 20;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /**
     * The bounds of one request.
     *
     * @param maxTokens maximum number of tokens of the answer
     * @param queueMillis maximum wait for the first upstream, in milliseconds
     * @param replacementMillis maximum wait for another upstream after one failed, or after the
     *     request was resumed with tokens from another entry, in milliseconds
     * @param tokenMillis expected time between two tokens, in milliseconds
     * @param exportMillis expected time of a KV export, in milliseconds
     * @param repeatable false if no second attempt may begin once an upstream may have received the
     *     first; the request can then continue at another upstream only from an exported KV cache
     */
    public record Settings(
            int maxTokens,
            long queueMillis,
            long replacementMillis,
            int tokenMillis,
            long exportMillis,
            boolean repeatable) {}

    private enum Phase {
        PLACING,
        RUNNING,
        MOVING,
        EXPORTING,
        ENDED
    }

    private final Settings settings;
    private final RetryBudget budget;
    private final AnswerLog log;
    private final Set<String> failedUpstreams = new HashSet<>();

    private Phase phase;
    private int attempt;
    private String upstream = "";
    private String nextUpstream = "";
    private boolean everSent;
    private boolean retryGranted = true;
    private int failures;
    private long waitingSinceMillis;
    private long moveDeadlineMillis;
    private long droppedFrames;

    /**
     * Creates the machine of an accepted request.
     *
     * @param settings its bounds
     * @param budget the retry budget of the request's organisation
     * @param log the answer so far; not empty if another entry received the first tokens
     * @param nowMillis the current time, in milliseconds
     */
    public GenerationMachine(Settings settings, RetryBudget budget, AnswerLog log, long nowMillis) {
        this.settings = settings;
        this.budget = budget;
        this.log = log;
        this.waitingSinceMillis = nowMillis;
        this.everSent = log.size() > 0;
        this.phase = log.isComplete() ? Phase.ENDED : Phase.PLACING;
    }

    /**
     * Begins with the placement of the request.
     *
     * @return the actions to carry out
     */
    public List<GenerationAction> start() {
        return List.of(new Place(failedUpstreams));
    }

    /**
     * Resumes a request that another entry accepted and may have sent.
     *
     * @return the actions to carry out
     */
    public List<GenerationAction> resume() {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        everSent = true;
        return settings.repeatable() ? start() : fail(Kind.HOLDER_LOST, 0);
    }

    /**
     * Handles the choice of an upstream.
     *
     * @param chosen the upstream's name
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> placed(String chosen, long nowMillis) {
        if (phase == Phase.MOVING) {
            nextUpstream = chosen;
            if (nowMillis + settings.exportMillis() < moveDeadlineMillis) {
                phase = Phase.EXPORTING;
                return List.of(new Export(attempt, upstream), new WakeAt(moveDeadlineMillis));
            }
            return switchTo(chosen, "");
        }
        return phase == Phase.PLACING ? dispatch(chosen, "") : List.of();
    }

    /**
     * Handles the case that no upstream can take the request now.
     *
     * @param retryAfterMillis time after which the caller may retry if the request fails now, in
     *     milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> notPlaced(long retryAfterMillis, long nowMillis) {
        if (phase == Phase.MOVING) {
            return List.of(new WakeAt(nowMillis + PLACEMENT_RETRY_MILLIS));
        }
        if (phase != Phase.PLACING) {
            return List.of();
        }
        if (nowMillis - waitingSinceMillis >= waitLimitMillis()) {
            Kind kind = failures > 0 ? Kind.UPSTREAM_BROKEN : Kind.NO_CAPACITY;
            return fail(kind, retryAfterMillis);
        }
        // better to retry the upstreams that failed than none
        failedUpstreams.clear();
        return List.of(new WakeAt(nowMillis + PLACEMENT_RETRY_MILLIS));
    }

    /**
     * Handles one token.
     *
     * @param ofAttempt the attempt that generated it
     * @param position the position of the token in the whole answer, from 0
     * @param text the token
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> token(int ofAttempt, int position, String text, long nowMillis) {
        if (ofAttempt != attempt || !acceptsTokens() || position < log.size()) {
            droppedFrames++;
            return List.of();
        }
        if (position > log.size() || log.size() >= settings.maxTokens()) {
            return attemptFailed(ofAttempt, true, nowMillis);
        }
        everSent = true;
        log.append(text);
        return List.of(new Emit());
    }

    /**
     * Handles the upstream's end of the answer.
     *
     * @param ofAttempt the attempt
     * @param tokens number of tokens of the whole answer
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> ended(int ofAttempt, int tokens, long nowMillis) {
        if (ofAttempt != attempt || !acceptsTokens()) {
            droppedFrames++;
            return List.of();
        }
        if (tokens != log.size()) {
            return attemptFailed(ofAttempt, true, nowMillis);
        }
        phase = Phase.ENDED;
        log.complete();
        budget.succeeded();
        return List.of(new Complete());
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param ofAttempt the attempt
     * @param sent true if any byte may have reached the upstream
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> attemptFailed(int ofAttempt, boolean sent, long nowMillis) {
        if (ofAttempt != attempt || !acceptsTokens()) {
            return List.of();
        }
        List<GenerationAction> actions = new ArrayList<>();
        everSent |= sent;
        if (sent && !settings.repeatable()) {
            return fail(Kind.UPSTREAM_BROKEN, 0);
        }
        actions.add(new Cancel(attempt));
        failedUpstreams.add(upstream);
        failures++;
        attempt++;
        boolean moving = phase != Phase.RUNNING;
        phase = Phase.PLACING;
        waitingSinceMillis = nowMillis;
        retryGranted = moving || !sent;
        actions.add(new WakeAt(nowMillis + (moving ? 0 : backoffMillis())));
        return actions;
    }

    /**
     * Handles the notice that an upstream is leaving.
     *
     * @param leaving the upstream's name
     * @param noticeMillis time for which it will still run, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> leaving(String leaving, long noticeMillis, long nowMillis) {
        if (phase == Phase.EXPORTING && leaving.equals(nextUpstream)) {
            phase = Phase.MOVING;
            return List.of(new Place(Set.of(upstream, leaving)));
        }
        if (phase != Phase.RUNNING || !leaving.equals(upstream)) {
            return List.of();
        }
        long remainingMillis = (long) (settings.maxTokens() - log.size()) * settings.tokenMillis();
        if (remainingMillis * 2 < noticeMillis) {
            return List.of();
        }
        phase = Phase.MOVING;
        moveDeadlineMillis = nowMillis + noticeMillis;
        return List.of(new Place(Set.of(upstream)));
    }

    /**
     * Handles the end of an export.
     *
     * @param ofAttempt the attempt whose cache was exported
     * @param kvHandle handle from which the cache can be imported; empty if the export failed
     * @return the actions to carry out
     */
    public List<GenerationAction> exported(int ofAttempt, String kvHandle) {
        if (phase != Phase.EXPORTING || ofAttempt != attempt) {
            return List.of();
        }
        return switchTo(nextUpstream, kvHandle);
    }

    /**
     * Handles a time that was requested with {@link WakeAt}.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> tick(long nowMillis) {
        return switch (phase) {
            case PLACING -> retryPlacement(nowMillis);
            case MOVING -> List.of(new Place(Set.of(upstream)));
            case EXPORTING ->
                    nowMillis >= moveDeadlineMillis ? switchTo(nextUpstream, "") : List.of();
            case RUNNING, ENDED -> List.of();
        };
    }

    /**
     * Ends the request with a failure whose cause is outside the request.
     *
     * @param kind the cause
     * @param retryAfterMillis time after which a retry by the caller may succeed, in milliseconds
     * @return the actions to carry out
     */
    public List<GenerationAction> abort(Kind kind, long retryAfterMillis) {
        return phase == Phase.ENDED ? List.of() : fail(kind, retryAfterMillis);
    }

    /**
     * Ends the request because its caller no longer waits for the answer.
     *
     * @return the actions to carry out
     */
    public List<GenerationAction> cancelled() {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        phase = Phase.ENDED;
        return List.of(new Cancel(attempt));
    }

    /**
     * Returns whether an upstream that was placed is the one that the request is being moved to.
     *
     * @param placed the upstream's name
     * @return true while the KV cache is being exported so that the request can continue there
     */
    public boolean isMoveTarget(String placed) {
        return phase == Phase.EXPORTING && placed.equals(nextUpstream);
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return 0 before the first dispatch
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the upstream of the current attempt.
     *
     * @return its name; empty before the first dispatch
     */
    public String upstream() {
        return upstream;
    }

    /**
     * Returns whether the request has ended.
     *
     * @return true after {@link Complete}, {@link Fail} or a cancellation
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /**
     * Returns the number of frames that were dropped as late or duplicate.
     *
     * @return the number of dropped frames
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    private List<GenerationAction> retryPlacement(long nowMillis) {
        boolean withinWaitLimit = nowMillis - waitingSinceMillis < waitLimitMillis();
        if (!retryGranted) {
            retryGranted = budget.tryRetry();
        }
        if (!retryGranted && withinWaitLimit) {
            return List.of(new WakeAt(nowMillis + PLACEMENT_RETRY_MILLIS));
        }
        if (!retryGranted) {
            return fail(Kind.UPSTREAM_BROKEN, settings.replacementMillis());
        }
        return List.of(new Place(failedUpstreams));
    }

    private List<GenerationAction> dispatch(String chosen, String kvHandle) {
        attempt++;
        upstream = chosen;
        nextUpstream = "";
        phase = Phase.RUNNING;
        return List.of(new Dispatch(attempt, chosen, log.size(), kvHandle));
    }

    private List<GenerationAction> switchTo(String chosen, String kvHandle) {
        if (kvHandle.isEmpty() && !settings.repeatable()) {
            nextUpstream = "";
            phase = Phase.RUNNING;
            return List.of();
        }
        List<GenerationAction> actions = new ArrayList<>();
        actions.add(new Cancel(attempt));
        actions.addAll(dispatch(chosen, kvHandle));
        return actions;
    }

    private List<GenerationAction> fail(Kind kind, long retryAfterMillis) {
        boolean hadAttempt = phase != Phase.PLACING;
        phase = Phase.ENDED;
        Outcome outcome = everSent || hadAttempt ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        Fail fail = new Fail(new Failure(outcome, kind, retryAfterMillis));
        return hadAttempt ? List.of(new Cancel(attempt), fail) : List.of(fail);
    }

    private long waitLimitMillis() {
        boolean hadUpstream = failures > 0 || log.size() > 0;
        return hadUpstream ? settings.replacementMillis() : settings.queueMillis();
    }

    private boolean acceptsTokens() {
        return phase == Phase.RUNNING || phase == Phase.MOVING || phase == Phase.EXPORTING;
    }

    private long backoffMillis() {
        return FIRST_BACKOFF_MILLIS << Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS);
    }
}
