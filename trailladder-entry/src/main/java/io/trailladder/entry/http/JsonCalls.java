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
package io.trailladder.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.trailladder.entry.JsonTree;
import io.trailladder.entry.loop.EventLoop;
import io.trailladder.entry.loop.LoopTimer;
import io.trailladder.platform.http.HostPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Makes calls with JSON bodies to one server. Every call has a timeout.
 *
 * @since 0.2
 */
public final class JsonCalls {
    private static final long MAX_IDLE_MILLIS = 3_000;
    private static final long CONNECT_MILLIS = 800;

    /** Largest body of an answer, in bytes; a call with a larger one counts as unanswered. */
    private static final int MAX_BODY_BYTES = 16 << 20;

    private static final byte[] NO_BYTES = {};

    private final EventLoop loop;
    private final HttpConnector connector;
    private final HostPort server;

    /**
     * An answer.
     *
     * @param status its HTTP status; 0 if there was no answer
     * @param headers its headers; empty if there was no answer
     * @param body its body; a missing node if there was no answer or it is not JSON
     */
    public record Reply(int status, HeaderList headers, JsonNode body) {
        /** The reply that stands for no answer. */
        public static final Reply NONE = new Reply(0, HeaderList.EMPTY, MissingNode.getInstance());
    }

    /**
     * Creates a client for a server.
     *
     * @param loop the loop on whose thread they are made
     * @param connector sends them
     * @param server the server
     */
    public JsonCalls(EventLoop loop, HttpConnector connector, HostPort server) {
        this.loop = loop;
        this.connector = connector;
        this.server = server;
    }

    /**
     * Creates an empty JSON object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return JsonTree.object();
    }

    /**
     * Makes a GET request.
     *
     * @param uri path and query
     * @param timeoutMillis timeout of the call, in milliseconds
     * @param result receives the answer, or {@link Reply#NONE}
     * @return cancels the call; {@code result} is then never called
     */
    public Runnable get(String uri, long timeoutMillis, Consumer<Reply> result) {
        return call("GET", uri, List.of(), NO_BYTES, timeoutMillis, result);
    }

    /**
     * Makes a POST request with a JSON body.
     *
     * @param uri path and query
     * @param fields further headers
     * @param body the body
     * @param timeoutMillis timeout of the call, in milliseconds
     * @param result receives the answer, or {@link Reply#NONE}
     */
    public void post(
            String uri,
            List<HeaderField> fields,
            JsonNode body,
            long timeoutMillis,
            Consumer<Reply> result) {
        List<HeaderField> withType = new ArrayList<>(fields);
        withType.add(new HeaderField("Content-Type", "application/json"));
        call("POST", uri, withType, JsonTree.write(body), timeoutMillis, result);
    }

    /**
     * Makes a call.
     *
     * @param method its method
     * @param uri path and query
     * @param fields further headers
     * @param body the body
     * @param timeoutMillis timeout of the call, in milliseconds
     * @param result receives the answer, or {@link Reply#NONE}
     * @return cancels the call; {@code result} is then never called
     */
    public Runnable call(
            String method,
            String uri,
            List<HeaderField> fields,
            byte[] body,
            long timeoutMillis,
            Consumer<Reply> result) {
        HeaderList headers = HeaderList.of("Host", server.toString());
        for (HeaderField field : fields) {
            headers = headers.with(field.name(), field.value());
        }
        Pending pending = new Pending(result);
        pending.timeout = loop.schedule(timeoutMillis, pending::abandon);
        pending.call =
                connector.send(
                        new OutgoingCall(
                                server,
                                method,
                                uri,
                                headers,
                                body,
                                MAX_IDLE_MILLIS,
                                CONNECT_MILLIS),
                        pending);
        return pending::cancel;
    }

    /** Collects one answer. */
    private final class Pending implements CallListener {
        private final Consumer<Reply> result;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ClientCall call;
        private LoopTimer timeout;
        private int status;
        private HeaderList headers = HeaderList.EMPTY;
        private boolean over;

        Pending(Consumer<Reply> result) {
            this.result = result;
        }

        void cancel() {
            over = true;
            timeout.cancel();
            call.cancel();
        }

        /** Ends the call as unanswered. */
        void abandon() {
            call.cancel();
            connector.closeIdle(server);
            finish(Reply.NONE);
        }

        @Override
        public void head(int answered, HeaderList fields, long length) {
            status = answered;
            headers = fields;
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
            if (body.size() > MAX_BODY_BYTES) {
                Logger.warn("call to {} ended, answer over {} bytes", server, MAX_BODY_BYTES);
                abandon();
            }
        }

        @Override
        public void ended() {
            JsonNode tree = MissingNode.getInstance();
            try {
                tree = JsonTree.read(body.toByteArray());
            } catch (IOException e) {
                // an error answer may have a body of any format
            }
            finish(new Reply(status, headers, tree));
        }

        @Override
        public void endedUnframed() {
            // an object or array of which a part is missing cannot be read
            ended();
        }

        @Override
        public void failed(CallFailure failure) {
            finish(Reply.NONE);
        }

        private void finish(Reply reply) {
            if (!over) {
                over = true;
                timeout.cancel();
                result.accept(reply);
            }
        }
    }
}
