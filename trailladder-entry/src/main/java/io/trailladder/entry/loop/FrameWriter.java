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
package io.trailladder.entry.loop;

import java.net.SocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Writes frames to links between processes.
 *
 * @since 0.2
 */
public final class FrameWriter {
    private FrameWriter() {}

    /**
     * Writes a frame without waiting for its completion.
     *
     * @param connection the link's connection
     * @param frame the frame, which must not be modified afterwards
     * @param onFailed runs if the frame cannot be written
     */
    public static void write(
            Connection<SocketAddress> connection, byte[] frame, Runnable onFailed) {
        connection.write(
                null,
                Buffers.wrap(connection.getMemoryManager(), frame),
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void failed(Throwable cause) {
                        onFailed.run();
                    }
                });
    }
}
