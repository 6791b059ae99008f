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
package io.trailladder.entry.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads a request's body without blocking, within a size and a time.
 *
 * @since 0.1
 */
final class BodyReader implements ReadHandler {
    private final NIOInputStream in;
    private final int maxBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<Fault> onFault;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final AtomicBoolean over = new AtomicBoolean();
    private final ScheduledFuture<?> deadline;

    /** Why a body cannot be read. */
    enum Fault {
        /** It is larger than allowed. */
        TOO_LARGE,
        /** The caller sent nothing for too long. */
        TOO_SLOW,
        /** The connection broke. */
        BROKEN
    }

    private BodyReader(
            Request request,
            int maxBytes,
            long idleMillis,
            ScheduledExecutorService timer,
            Consumer<byte[]> onBody,
            Consumer<Fault> onFault) {
        this.in = request.getNIOInputStream();
        this.maxBytes = maxBytes;
        this.onBody = onBody;
        this.onFault = onFault;
        this.deadline =
                timer.schedule(() -> fault(Fault.TOO_SLOW), idleMillis, TimeUnit.MILLISECONDS);
    }

    /** Begins to read; exactly one of the two consumers is called, once. */
    static void read(
            Request request,
            int maxBytes,
            long idleMillis,
            ScheduledExecutorService timer,
            Consumer<byte[]> onBody,
            Consumer<Fault> onFault) {
        if (request.getContentLengthLong() > maxBytes) {
            onFault.accept(Fault.TOO_LARGE);
            return;
        }
        BodyReader reader = new BodyReader(request, maxBytes, idleMillis, timer, onBody, onFault);
        reader.in.notifyAvailable(reader);
    }

    @Override
    public void onDataAvailable() throws IOException {
        if (take()) {
            in.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        if (take() && over.compareAndSet(false, true)) {
            deadline.cancel(false);
            onBody.accept(body.toByteArray());
        }
    }

    @Override
    public void onError(Throwable cause) {
        fault(Fault.BROKEN);
    }

    private boolean take() throws IOException {
        int available = in.available();
        if (body.size() + available > maxBytes) {
            fault(Fault.TOO_LARGE);
            return false;
        }
        body.write(in.readNBytes(available));
        return !over.get();
    }

    private void fault(Fault fault) {
        if (over.compareAndSet(false, true)) {
            deadline.cancel(false);
            onFault.accept(fault);
        }
    }
}
