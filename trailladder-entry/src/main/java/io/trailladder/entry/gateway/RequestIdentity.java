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
package io.trailladder.entry.gateway;

import io.trailladder.core.crash.RequestTrait;
import io.trailladder.core.pipeline.Prompt;
import io.trailladder.core.pipeline.PromptBlock;
import io.trailladder.entry.http.ServerExchange;
import io.trailladder.entry.port.CallerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** The traits of a request, computed on first use because few requests need them. */
final class RequestIdentity {
    private final Supplier<RequestTrait> wholeSupplier;
    private final Prompt prompt;
    private RequestTrait whole;
    private List<RequestTrait> parts;

    RequestIdentity(Supplier<RequestTrait> whole, Prompt prompt) {
        this.wholeSupplier = whole;
        this.prompt = prompt;
    }

    /** Creates the identity of a caller's request. */
    static RequestIdentity of(ServerExchange exchange, CallerRequest caller) {
        return new RequestIdentity(
                () ->
                        RequestTrait.whole(
                                caller.key(),
                                exchange.method(),
                                caller.host() + exchange.uri(),
                                exchange.body()),
                caller.prompt());
    }

    /** Returns the trait of the request as a whole. */
    RequestTrait whole() {
        if (whole == null) {
            whole = wholeSupplier.get();
        }
        return whole;
    }

    /** Returns the parts of the prompt without the last one, which no other request has. */
    List<RequestTrait> parts() {
        if (parts == null) {
            List<PromptBlock> blocks = prompt.blocks();
            parts = new ArrayList<>();
            for (int i = 0; i < blocks.size() - 1; i++) {
                parts.add(RequestTrait.part(i + 1, blocks.get(i).id()));
            }
        }
        return parts;
    }

    /** Returns the parts of the prompt and the request as a whole. */
    List<RequestTrait> traits() {
        List<RequestTrait> traits = new ArrayList<>(parts());
        traits.add(whole());
        return traits;
    }

    /** Returns whether the request has a trait. */
    boolean has(RequestTrait trait) {
        return trait.isPart() ? parts().contains(trait) : whole().equals(trait);
    }
}
