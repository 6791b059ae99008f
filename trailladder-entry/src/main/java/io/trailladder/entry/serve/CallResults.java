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

import io.trailladder.core.request.Failure;
import io.trailladder.core.request.Outcome;
import io.trailladder.entry.serve.ServiceRunner.Result;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the results of at-most-once calls that this entry made, in bounded memory, so that a caller
 * who repeats a call receives the first answer.
 *
 * @since 0.1
 */
final class CallResults {
    private static final int MAX_CALLS = 2_000;
    private static final int MAX_KEPT_ANSWER_BYTES = 16 * 1024;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final String servedIn;
    private final Map<String, Call> calls =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Call> eldest) {
                    return size() > MAX_CALLS && eldest.getValue().result != null;
                }
            };

    /** A call and the receivers that wait for its result. */
    private static final class Call {
        final String organisation;
        final List<CallerSink> waiting = new ArrayList<>();
        Result result;

        Call(String organisation) {
            this.organisation = organisation;
        }
    }

    CallResults(String servedIn) {
        this.servedIn = servedIn;
    }

    /** Records the start of a call. */
    synchronized void begin(String callId, String organisation) {
        calls.put(callId, new Call(organisation));
    }

    /** Removes a call that was not made. */
    synchronized void remove(String callId) {
        calls.remove(callId);
    }

    /**
     * Records the result of a call and sends it to the receivers that wait for it. Large answers
     * are not kept after that.
     */
    void end(String callId, Result result) {
        List<CallerSink> waiting;
        synchronized (this) {
            Call call = calls.get(callId);
            if (call == null) {
                return;
            }
            waiting = List.copyOf(call.waiting);
            call.waiting.clear();
            call.result = result;
            if (result instanceof Result.Completed completed
                    && completed.reply().body().length > MAX_KEPT_ANSWER_BYTES) {
                calls.remove(callId);
            }
        }
        waiting.forEach(sink -> result.send(sink, callId, servedIn));
    }

    /** Sends the result of a call, immediately or as soon as the call ends. */
    void sendResult(String callId, String organisation, CallerSink sink) {
        Result result;
        synchronized (this) {
            Call call = calls.get(callId);
            if (call == null || !call.organisation.equals(organisation)) {
                result = unknownResult();
            } else if (call.result == null) {
                call.waiting.add(sink);
                return;
            } else {
                result = call.result;
            }
        }
        result.send(sink, callId, servedIn);
    }

    /** Returns the result that is sent for a call whose result this entry does not have. */
    static Result unknownResult() {
        return new Result.Failed(
                new Failure(Outcome.UNKNOWN, Failure.Kind.CLAIM_UNKNOWN, RETRY_AFTER_MILLIS));
    }
}
