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
 * Remembers the answers of at-most-once calls that this entry made, in bounded memory, so that a
 * caller who asks again gets the first answer.
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

    /** A call with those who wait for its answer. */
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

    /** Records that a call begins. */
    synchronized void begin(String callId, String organisation) {
        calls.put(callId, new Call(organisation));
    }

    /** Forgets a call that was not made. */
    synchronized void remove(String callId) {
        calls.remove(callId);
    }

    /** Records a call's result and sends it to those who wait for it. */
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
            if (result instanceof Result.Completed whole
                    && whole.reply().body().length > MAX_KEPT_ANSWER_BYTES) {
                calls.remove(callId);
            }
        }
        waiting.forEach(sink -> result.send(sink, callId, servedIn));
    }

    /** Sends the first answer of a call, now or when it is there. */
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

    /** What is said of a call whose answer is not known here. */
    static Result unknownResult() {
        return new Result.Failed(
                new Failure(Outcome.UNKNOWN, Failure.Kind.CLAIM_UNKNOWN, RETRY_AFTER_MILLIS));
    }
}
