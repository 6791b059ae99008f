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

import io.trailladder.wire.PeerMessage.Header;
import java.util.List;

/**
 * A caller's answer that had begun at another entry and goes on here: its head is not sent again,
 * and one that turns out to be a failure breaks it off.
 */
final class ResumedAnswerSink implements CallerSink {
    private static final int OK = 200;

    private final CallerSink sink;
    private volatile boolean aborted;

    ResumedAnswerSink(CallerSink sink) {
        this.sink = sink;
    }

    @Override
    public void head(int status, List<Header> headers) {
        if (status != OK) {
            aborted = true;
            sink.abort();
        }
    }

    @Override
    public void body(byte[] bytes) {
        if (!aborted) {
            sink.body(bytes);
        }
    }

    @Override
    public void end() {
        if (!aborted) {
            sink.end();
        }
    }

    @Override
    public void abort() {
        sink.abort();
    }

    @Override
    public boolean writable() {
        return sink.writable();
    }

    @Override
    public void whenWritable(Runnable ready) {
        sink.whenWritable(ready);
    }

    @Override
    public void whenDisconnected(Runnable gone) {
        sink.whenDisconnected(gone);
    }
}
