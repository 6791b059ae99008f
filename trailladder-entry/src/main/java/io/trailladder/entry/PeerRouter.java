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
package io.trailladder.entry;

import io.trailladder.entry.peer.PeerHandler;
import io.trailladder.entry.serve.ClaimService;
import io.trailladder.entry.serve.DataCentreChooser;
import io.trailladder.entry.serve.PeerRelay;
import io.trailladder.entry.serve.PeerServer;
import io.trailladder.entry.serve.RequestFinder;
import io.trailladder.entry.serve.RequestRegistry;
import io.trailladder.entry.sync.FleetSync;
import io.trailladder.entry.sync.Members;
import io.trailladder.entry.sync.TableSync;
import io.trailladder.wire.EntryInfo;
import io.trailladder.wire.PeerMessage;
import io.trailladder.wire.PeerMessage.AnswerBody;
import io.trailladder.wire.PeerMessage.AnswerCancel;
import io.trailladder.wire.PeerMessage.AnswerEnd;
import io.trailladder.wire.PeerMessage.AnswerHead;
import io.trailladder.wire.PeerMessage.Forward;
import io.trailladder.wire.PeerMessage.Heartbeat;
import io.trailladder.wire.PeerMessage.LeavingNotice;
import io.trailladder.wire.PeerMessage.RangeMapUpdate;
import io.trailladder.wire.PeerMessage.RecordDrop;
import io.trailladder.wire.PeerMessage.RecordFind;
import io.trailladder.wire.PeerMessage.RecordFound;
import io.trailladder.wire.PeerMessage.RecordHandOver;
import io.trailladder.wire.PeerMessage.RecordKept;
import io.trailladder.wire.PeerMessage.RecordPut;
import io.trailladder.wire.PeerMessage.RecordTokens;
import io.trailladder.wire.PeerMessage.TableDelta;
import io.trailladder.wire.PeerMessage.TableSnapshot;
import io.trailladder.wire.PeerMessage.UpstreamList;

/**
 * Dispatches each message from a peer to the component that handles it.
 *
 * @since 0.1
 */
final class PeerRouter implements PeerHandler {
    private final Parts parts;

    /** The components that handle messages. */
    record Parts(
            Members members,
            DataCentreChooser chooser,
            TableSync tables,
            FleetSync fleet,
            RequestRegistry book,
            RequestFinder finder,
            PeerRelay relay,
            PeerServer server,
            ClaimService claims,
            PeerSender sender) {}

    /** Sends the state that a newly linked or outdated peer lacks. */
    interface PeerSender {
        void sendInitialState(String peer);

        void sendRangeMap(String peer);
    }

    PeerRouter(Parts parts) {
        this.parts = parts;
    }

    @Override
    public void linked(EntryInfo peer) {
        parts.sender().sendInitialState(peer.id());
    }

    @Override
    public void unlinked(EntryInfo peer) {
        lost(peer);
    }

    /** Handles the loss of a peer, also of one that is linked but does not respond. */
    void lost(EntryInfo peer) {
        parts.chooser().lost(peer.id());
        parts.server().peerLost(peer.id());
        parts.book().peerLost(peer.id());
        parts.relay().peerLost(peer.id());
    }

    @Override
    public void received(EntryInfo from, PeerMessage message) {
        boolean handled =
                control(from, message)
                        || answers(message)
                        || records(from, message)
                        || parts.claims().received(from, message);
        if (!handled) {
            throw new IllegalStateException("no handler for peer message " + message.getClass());
        }
    }

    private boolean control(EntryInfo from, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            parts.chooser().heartbeatReceived(from.id(), heartbeat);
            parts.tables().heartbeatReceived(from, heartbeat);
            if (heartbeat.rangeMapVersion() < parts.claims().mapVersion()) {
                parts.sender().sendRangeMap(from.id());
            }
        } else if (message instanceof PeerMessage.Members known) {
            parts.members().received(known.entries());
        } else if (message instanceof TableDelta delta) {
            parts.tables().received(delta);
        } else if (message instanceof TableSnapshot snapshot) {
            parts.tables().received(snapshot);
        } else if (message instanceof UpstreamList list) {
            parts.fleet().received(list);
        } else if (message instanceof LeavingNotice notice) {
            parts.fleet().received(notice);
        } else if (message instanceof RangeMapUpdate update) {
            parts.claims().mapReceived(update.map());
        } else {
            return false;
        }
        return true;
    }

    private boolean answers(PeerMessage message) {
        if (message instanceof AnswerHead head) {
            parts.relay().head(head);
        } else if (message instanceof AnswerBody body) {
            parts.relay().body(body);
        } else if (message instanceof AnswerEnd end) {
            parts.relay().end(end);
        } else {
            return false;
        }
        return true;
    }

    private boolean records(EntryInfo from, PeerMessage message) {
        if (message instanceof Forward forward) {
            parts.server().serve(from.id(), forward);
        } else if (message instanceof AnswerCancel cancel) {
            parts.server().cancel(from.id(), cancel);
        } else if (message instanceof RecordPut put) {
            parts.book().storeCopy(from, put);
        } else if (message instanceof RecordKept kept) {
            parts.book().copyStored(kept);
        } else if (message instanceof RecordTokens tokens) {
            parts.book().appendTokens(tokens);
        } else if (message instanceof RecordDrop drop) {
            parts.book().dropReceived(from, drop);
        } else if (message instanceof RecordHandOver handOver) {
            parts.book().acceptHandOver(from, handOver);
        } else if (message instanceof RecordFind find) {
            parts.server().answerFind(from.id(), find);
        } else if (message instanceof RecordFound found) {
            parts.book().findAnswered(from.id(), found);
            parts.finder().answerReceived(from.id(), found);
        } else {
            return false;
        }
        return true;
    }
}
