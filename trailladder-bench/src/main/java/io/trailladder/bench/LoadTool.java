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
package io.trailladder.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Opens streams against an entry, or straight against an engine, and prints how evenly tokens come.
 *
 * <p>{@code entry|engine HOST:PORT STREAMS TOKENS ORGANISATION KEY}. Bounded by its streams and
 * tokens; it stops by itself.
 *
 * @since 0.1
 */
public final class LoadTool {
    private static final long MAX_MICROS = 60_000_000;
    private static final long DEADLINE_NANOS = 60_000_000_000L;
    private static final int BUFFER_BYTES = 64 * 1024;

    private final Histogram first = new Histogram(MAX_MICROS, 3);
    private final Histogram between = new Histogram(MAX_MICROS, 3);
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private int whole;
    private int open;

    private LoadTool() {}

    /** One stream being read. */
    private static final class Stream {
        final long startedNanos = System.nanoTime();
        final StringBuilder tail = new StringBuilder();
        ByteBuffer request;
        long lastNanos;
        boolean whole;
    }

    /**
     * Runs the load.
     *
     * @param args see the class
     * @throws IOException if the target cannot be reached
     */
    public static void main(String[] args) throws IOException {
        LoadTool tool = new LoadTool();
        int streams = Integer.parseInt(args[2]);
        tool.run(args, streams);
        System.out.printf(
                Locale.ROOT,
                "streams %d whole %d first-token p50 %.1f ms p95 %.1f ms between p50 %.1f ms p95 %.1f"
                        + " ms p99 %.1f ms%n",
                streams,
                tool.whole,
                tool.first.getValueAtPercentile(50) / 1000.0,
                tool.first.getValueAtPercentile(95) / 1000.0,
                tool.between.getValueAtPercentile(50) / 1000.0,
                tool.between.getValueAtPercentile(95) / 1000.0,
                tool.between.getValueAtPercentile(99) / 1000.0);
    }

    private void run(String[] args, int streams) throws IOException {
        boolean engine = args[0].equals("engine");
        int colon = args[1].lastIndexOf(':');
        InetSocketAddress address =
                new InetSocketAddress(
                        args[1].substring(0, colon),
                        Integer.parseInt(args[1].substring(colon + 1)));
        long deadline = System.nanoTime() + DEADLINE_NANOS;
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < streams; i++) {
                String body = engine ? engineBody(args, i) : entryBody(args, i);
                String path = engine ? "/v1/generate" : "/v1/completions";
                connect(selector, address, request(args, path, body));
                selectOnce(selector, 1);
            }
            while (open > 0 && System.nanoTime() < deadline) {
                selectOnce(selector, 100);
            }
        }
    }

    private void connect(Selector selector, InetSocketAddress address, byte[] request)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
        Stream stream = new Stream();
        stream.request = ByteBuffer.wrap(request);
        channel.register(selector, SelectionKey.OP_CONNECT, stream);
        open++;
    }

    private void selectOnce(Selector selector, long millis) throws IOException {
        selector.select(millis);
        for (SelectionKey key : selector.selectedKeys()) {
            serve(key);
        }
        selector.selectedKeys().clear();
    }

    private void serve(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        Stream stream = (Stream) key.attachment();
        if (key.isConnectable() && channel.finishConnect()) {
            key.interestOps(SelectionKey.OP_WRITE);
        } else if (key.isWritable()) {
            channel.write(stream.request);
            if (!stream.request.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ);
            }
        } else if (key.isReadable()) {
            read(channel, stream);
        }
    }

    private void read(SocketChannel channel, Stream stream) throws IOException {
        buffer.clear();
        int count = channel.read(buffer);
        String text = new String(buffer.array(), 0, Math.max(0, count), StandardCharsets.UTF_8);
        int tokens = text.split("data: \\{", -1).length - 1;
        long now = System.nanoTime();
        for (int i = 0; i < tokens; i++) {
            if (stream.lastNanos == 0) {
                first.recordValue(micros(now - stream.startedNanos));
            } else {
                between.recordValue(micros(now - stream.lastNanos));
            }
            stream.lastNanos = now;
        }
        stream.tail.append(text);
        stream.tail.delete(0, Math.max(0, stream.tail.length() - 200));
        stream.whole |= stream.tail.indexOf("[DONE]") >= 0 || stream.tail.indexOf("\"end\"") >= 0;
        if (count < 0 || stream.whole) {
            whole += stream.whole ? 1 : 0;
            open--;
            channel.close();
        }
    }

    private static long micros(long nanos) {
        return Math.min(MAX_MICROS, Math.max(1, nanos / 1000));
    }

    private static byte[] request(String[] args, String path, String body) {
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + args[1]
                        + "\r\nAuthorization: Bearer "
                        + args[5]
                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static String entryBody(String[] args, int number) {
        return "{\"model\":\"modelo-hipo\",\"stream\":true,\"max_tokens\":"
                + args[3]
                + ",\"prompt\":\"expediente "
                + number
                + "\"}";
    }

    private static String engineBody(String[] args, int number) {
        return "{\"request\":\"r"
                + number
                + "\",\"attempt\":1,\"organisation\":\""
                + args[4]
                + "\",\"prompt\":\"expediente "
                + number
                + "\",\"max_tokens\":"
                + args[3]
                + ",\"kv\":\"\",\"resume\":[]}";
    }
}
