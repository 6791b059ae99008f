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
 * Takes one accepted model request from its acceptance to its final answer.
 *
 * <p>Every attempt has a number. Tokens of an older attempt, tokens that came before and tokens
 * after a gap never reach the answer. An answer is whole only when the upstream named its length
 * and every token up to it is there.
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
     * Bounds of one request.
     *
     * @param maxTokens most tokens the answer may have
     * @param queueMillis how long it may wait for its first upstream, in milliseconds
     * @param patienceMillis how long it may wait for another upstream once it had one, in
     *     milliseconds
     * @param tokenMillis expected time between two tokens, in milliseconds
     * @param exportMillis expected time of a KV export, in milliseconds
     * @param repeatable false if no second attempt may begin once an upstream may have seen the
     *     first; only an exported KV cache may then be gone on with elsewhere
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
     * Creates the machine of a request that was accepted.
     *
     * @param settings its bounds
     * @param budget its organisation's retry budget
     * @param log the answer so far; not empty if another entry began it
     * @param nowMillis the time
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
     * Begins.
     *
     * @return what is to be done
     */
    public List<GenerationAction> start() {
        return List.of(new Place(failedUpstreams));
    }

    /**
     * Begins a request that another entry had accepted and may have sent.
     *
     * @return what is to be done
     */
    public List<GenerationAction> resume() {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        everSent = true;
        return settings.repeatable() ? start() : fail(Kind.HOLDER_LOST, 0);
    }

    /**
     * Is told that an upstream was chosen.
     *
     * @param chosen the upstream's name
     * @param nowMillis the time
     * @return what is to be done
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
     * Is told that no upstream can take the request now.
     *
     * @param retryAfterMillis when the caller may ask again, if the request gives up
     * @param nowMillis the time
     * @return what is to be done
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
        // every upstream that failed may be tried again rather than none
        failedUpstreams.clear();
        return List.of(new WakeAt(nowMillis + PLACEMENT_RETRY_MILLIS));
    }

    /**
     * Is told of one token.
     *
     * @param ofAttempt the attempt that made it
     * @param position its position in the whole answer, from 0
     * @param text the token
     * @param nowMillis the time
     * @return what is to be done
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
     * Is told that the upstream ended the answer.
     *
     * @param ofAttempt the attempt
     * @param tokens how many tokens the whole answer has
     * @param nowMillis the time
     * @return what is to be done
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
     * Is told that an attempt failed.
     *
     * @param ofAttempt the attempt
     * @param sent true if any byte may have reached the upstream
     * @param nowMillis the time
     * @return what is to be done
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
        boolean announced = phase != Phase.RUNNING;
        phase = Phase.PLACING;
        waitingSinceMillis = nowMillis;
        retryGranted = announced || !sent;
        actions.add(new WakeAt(nowMillis + (announced ? 0 : backoffMillis())));
        return actions;
    }

    /**
     * Is told that an upstream is leaving.
     *
     * @param leaving the upstream's name
     * @param noticeMillis how long it will still run, in milliseconds
     * @param nowMillis the time
     * @return what is to be done
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
     * Is told how an export ended.
     *
     * @param ofAttempt the attempt whose cache was exported
     * @param kvHandle where it can be imported from; empty if the export failed
     * @return what is to be done
     */
    public List<GenerationAction> exported(int ofAttempt, String kvHandle) {
        if (phase != Phase.EXPORTING || ofAttempt != attempt) {
            return List.of();
        }
        return switchTo(nextUpstream, kvHandle);
    }

    /**
     * Is told that a time asked for with {@link WakeAt} has come.
     *
     * @param nowMillis the time
     * @return what is to be done
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
     * Ends the request with a failure, for reasons outside of it.
     *
     * @param kind why
     * @param retryAfterMillis when asking again may help, in milliseconds
     * @return what is to be done
     */
    public List<GenerationAction> abort(Kind kind, long retryAfterMillis) {
        return phase == Phase.ENDED ? List.of() : fail(kind, retryAfterMillis);
    }

    /**
     * Ends the request because nobody wants its answer.
     *
     * @return what is to be done
     */
    public List<GenerationAction> cancelled() {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        phase = Phase.ENDED;
        return List.of(new Cancel(attempt));
    }

    /**
     * Tells whether an upstream that was placed is kept for later.
     *
     * @param placed the upstream's name
     * @return true while the KV cache is exported to go on there
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
     * Tells whether the request has had its final answer.
     *
     * @return true after Complete, Fail or a cancel
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /**
     * Returns how many frames were dropped as late or doubled.
     *
     * @return a count
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    private List<GenerationAction> retryPlacement(long nowMillis) {
        boolean patient = nowMillis - waitingSinceMillis < waitLimitMillis();
        if (!retryGranted) {
            retryGranted = budget.tryRetry();
        }
        if (!retryGranted && patient) {
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
        boolean accepted = failures > 0 || log.size() > 0;
        return accepted ? settings.replacementMillis() : settings.queueMillis();
    }

    private boolean acceptsTokens() {
        return phase == Phase.RUNNING || phase == Phase.MOVING || phase == Phase.EXPORTING;
    }

    private long backoffMillis() {
        return FIRST_BACKOFF_MILLIS << Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS);
    }
}
