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
package io.trailladder.wire;

/**
 * How an entry presents itself to its peers.
 *
 * @param id its name, new at every start
 * @param dataCentre where it runs
 * @param peerAddress host and port of its peer link
 * @param callerAddress host and port where it takes callers' requests
 * @param operatorAddress host and port where it answers operators
 * @since 0.1
 */
public record EntryInfo(
        String id,
        String dataCentre,
        String peerAddress,
        String callerAddress,
        String operatorAddress) {}
