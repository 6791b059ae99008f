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
package io.trailladder.cli.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** One answer as it stands on a caller's connection. */
record CallerAnswer(int status, Map<String, String> headers, String body, boolean whole) {
    /** Stands for a connection that ended before an answer began. */
    static final CallerAnswer NONE = new CallerAnswer(0, Map.of(), "", false);

    static CallerAnswer read(Socket socket) throws IOException {
        return read(socket, body -> false);
    }

    /** Reads an answer until it ends, or its body so far is enough. */
    static CallerAnswer read(Socket socket, Predicate<String> enough) throws IOException {
        InputStream in = socket.getInputStream();
        String first = line(in);
        int status = Integer.parseInt(first.split(" ", 3)[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole;
        try {
            whole =
                    headers.containsKey("content-length")
                            ? sized(in, headers, body)
                            : chunks(in, body, enough);
        } catch (IOException e) {
            whole = false;
        }
        return new CallerAnswer(status, headers, body.toString(StandardCharsets.UTF_8), whole);
    }

    boolean closes() {
        return !whole || headers.getOrDefault("connection", "").equals("close");
    }

    private static boolean sized(
            InputStream in, Map<String, String> headers, ByteArrayOutputStream body)
            throws IOException {
        int length = Integer.parseInt(headers.get("content-length"));
        body.write(in.readNBytes(length));
        return body.size() == length;
    }

    private static boolean chunks(
            InputStream in, ByteArrayOutputStream body, Predicate<String> enough)
            throws IOException {
        while (true) {
            int length = Integer.parseInt(line(in), 16);
            byte[] chunk = in.readNBytes(length);
            body.write(chunk);
            line(in);
            if (length == 0) {
                return true;
            }
            if (chunk.length < length || enough.test(body.toString(StandardCharsets.UTF_8))) {
                return false;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int read = in.read(); read != '\n'; read = in.read()) {
            if (read < 0) {
                throw new EOFException("connection ended within a line");
            }
            if (read != '\r') {
                line.append((char) read);
            }
        }
        return line.toString();
    }
}
