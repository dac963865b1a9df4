//! Pins the encoding of all messages between replicas and of the state on disk. Nodes of different versions run side by
//! side during an upgrade and read disks of earlier versions, so these bytes must not change. Postcard encodes enum
//! variants and fields by position: renaming is safe; reordering, splitting, merging and type changes are not.

mod pinned;

use aspendrum_consensus::acceptor::{Accepted, Acceptor};
use aspendrum_consensus::ballot::Ballot;
use aspendrum_consensus::message::{
    Message, ReadReply, Reply, Request, SealReply, SuccessorAnswer,
};
use aspendrum_consensus::replicated_state::{DecidedConfig, Evacuation, ReplicatedState};
use aspendrum_consensus::versions::{ConfigText, UndecidedVersion, VersionAnswer, VersionTable};
use aspendrum_consensus::{DurableState, Epoch, NodeId, Voters};
use pinned::Pinned;

fn node(address: u32) -> NodeId {
    NodeId::new(address)
}

fn ballot() -> Ballot {
    Ballot {
        counter: 300,
        node: node(0x0a00_0001),
        incarnation: 0x0123_4567_0000,
    }
}

fn text() -> ConfigText {
    ConfigText {
        digest: 0xfeed_beef_0000_1234,
        compressed: Some(b"packed".to_vec()),
    }
}

fn replicated() -> ReplicatedState {
    let begun = Evacuation {
        revision: 3,
        has_ended: false,
    };
    let finished = Evacuation {
        revision: 200,
        has_ended: true,
    };
    ReplicatedState {
        config: Some(DecidedConfig {
            version: 0x0107,
            compressed_text: b"text".to_vec(),
        }),
        evacuations: [("z1".to_string(), begun), ("z2".to_string(), finished)].into(),
    }
}

/// Returns a state with the lowest version, whose bytes differ from those of a state without a configuration.
fn lowest() -> ReplicatedState {
    ReplicatedState::of_config(0, b"text".to_vec())
}

fn voters() -> Voters {
    Voters(
        [
            (node(1), 11),
            (node(2), 0),
            (node(0x0a00_0003), 0x0102_0304_0506_0708),
        ]
        .into(),
    )
}

fn epoch() -> Epoch {
    Epoch {
        number: 5,
        voters: voters(),
        previous_voters: Voters::founding(&[1, 2, 3].map(node)),
    }
}

/// Returns a table with an undecided version with an accepted text, one with only a promise, and a decided one.
fn versions() -> VersionTable {
    let mut versions = VersionTable::default();
    versions.accept(9, ballot(), text(), Some(7));
    versions.prepare(10, ballot(), Some(7));
    versions.accept(7, ballot(), text(), Some(7));
    versions.decide(6, 0x66, Some(7));
    versions
}

fn accepted<V>(value: V) -> Accepted<V> {
    Accepted {
        ballot: ballot(),
        value,
    }
}

fn request(request: Request) -> Message {
    Message::Request { epoch: 5, request }
}

fn reply(reply: Reply) -> Message {
    Message::Reply { epoch: 5, reply }
}

fn version(answer: VersionAnswer) -> Message {
    reply(Reply::Version {
        version: 8,
        ballot: ballot(),
        answer: Box::new(answer),
    })
}

fn successor(answer: SuccessorAnswer) -> Message {
    reply(Reply::Successor {
        ballot: ballot(),
        answer,
    })
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let mut pinned = Pinned::new("messages.hex", include_str!("fixtures/messages.hex"));
    pinned.same(
        "request.read",
        &request(Request::Read {
            request_id: 1 << 40,
            digest: u64::MAX,
        }),
    );
    pinned.same(
        "request.write",
        &request(Request::Write {
            request_id: 2,
            state: Box::new(replicated()),
        }),
    );
    pinned.same(
        "request.prepare",
        &request(Request::Prepare {
            version: 8,
            ballot: ballot(),
        }),
    );
    pinned.same(
        "request.accept",
        &request(Request::Accept {
            version: 8,
            ballot: ballot(),
            text: Box::new(text()),
        }),
    );
    pinned.same(
        "request.prepare_successor",
        &request(Request::PrepareSuccessor { ballot: ballot() }),
    );
    let accept_successor = Request::AcceptSuccessor {
        ballot: ballot(),
        voters: voters(),
    };
    pinned.same("request.accept_successor", &request(accept_successor));
    pinned.same(
        "reply.read.same",
        &reply(Reply::Read(ReadReply {
            request_id: 3,
            digest: 4,
            state: None,
            undecided: None,
        })),
    );
    let undecided = UndecidedVersion {
        version: 9,
        ballot: ballot(),
        text: text(),
    };
    let (state, undecided) = (Some(Box::new(replicated())), Some(Box::new(undecided)));
    pinned.same(
        "reply.read.other",
        &reply(Reply::Read(ReadReply {
            request_id: 3,
            digest: 4,
            state,
            undecided,
        })),
    );
    pinned.same("reply.written", &reply(Reply::Written { request_id: 2 }));
    pinned.same(
        "reply.number.promised",
        &version(VersionAnswer::Promised(None)),
    );
    pinned.same(
        "reply.number.promised.accepted",
        &version(VersionAnswer::Promised(Some(accepted(text())))),
    );
    pinned.same("reply.number.accepted", &version(VersionAnswer::Accepted));
    pinned.same(
        "reply.number.outbid",
        &version(VersionAnswer::Preempted(ballot())),
    );
    pinned.same("reply.number.known", &version(VersionAnswer::Decided(77)));
    pinned.same("reply.number.forgotten", &version(VersionAnswer::Compacted));
    pinned.same(
        "reply.successor.promised",
        &successor(SuccessorAnswer::Promised(None)),
    );
    let accepted = SuccessorAnswer::Promised(Some(accepted(voters())));
    pinned.same("reply.successor.promised.accepted", &successor(accepted));
    pinned.same(
        "reply.successor.accepted",
        &successor(SuccessorAnswer::Accepted),
    );
    pinned.same(
        "reply.successor.refused",
        &successor(SuccessorAnswer::Preempted(ballot())),
    );
    pinned.same("epoch", &Message::Epoch(Box::new(epoch())));
    pinned.same("epoch.unknown", &Message::Epoch(Box::default()));
    pinned.same(
        "seal",
        &Message::Seal {
            epoch: Box::new(epoch()),
            digest: 0x1234_5678_9abc_def0,
        },
    );
    let same = SealReply {
        epoch: 5,
        was_voter: true,
        has_joined: false,
        state: None,
        versions: VersionTable::default(),
    };
    pinned.same("sealed.same", &Message::Sealed(Box::new(same)));
    let state = Some(replicated());
    let other = SealReply {
        epoch: 5,
        was_voter: false,
        has_joined: true,
        state,
        versions: versions(),
    };
    pinned.same("sealed.other", &Message::Sealed(Box::new(other)));
    pinned.same(
        "decided",
        &Message::Decided {
            version: 8,
            digest: 0xabcd,
        },
    );
    pinned.same("nudge", &Message::CommitNotice);
    let write = |state: ReplicatedState| {
        request(Request::Write {
            request_id: 1,
            state: Box::new(state),
        })
    };
    pinned.same("request.write.none", &write(ReplicatedState::default()));
    pinned.same("request.write.lowest", &write(lowest()));
    pinned.assert_complete();
}

#[test]
fn the_state_on_disk_keeps_its_bytes() {
    let mut pinned = Pinned::new("state.hex", include_str!("fixtures/state.hex"));
    pinned.same(
        "empty",
        &DurableState::empty(node(1), 77, false, &[1, 2, 3].map(node)),
    );
    pinned.same(
        "founding",
        &DurableState::empty(node(1), 77, true, &[1, 2, 3].map(node)),
    );
    let state = DurableState {
        replicated: replicated(),
        versions: versions(),
        disk: 77,
        is_founding_disk: true,
        epoch: epoch(),
        has_joined: true,
        successor: Acceptor {
            promised: ballot(),
            accepted: Some(accepted(voters())),
        },
    };
    pinned.same("voter", &state);
    let successor = Acceptor {
        promised: ballot(),
        accepted: None,
    };
    pinned.same(
        "voter.promised",
        &DurableState {
            is_founding_disk: false,
            successor,
            ..state
        },
    );
    let mut versions = VersionTable::default();
    versions.accept(0, ballot(), text(), None);
    pinned.same(
        "accepted.lowest",
        &DurableState {
            versions,
            ..DurableState::empty(node(1), 77, false, &[])
        },
    );
    let mut versions = VersionTable::default();
    versions.decide(0, 0x66, Some(0));
    pinned.same(
        "decided.lowest",
        &DurableState {
            replicated: lowest(),
            versions,
            ..DurableState::empty(node(1), 77, false, &[])
        },
    );
    pinned.assert_complete();
}

/// The last field of the version table is the highest version that was dropped.
#[test]
fn the_highest_dropped_version_keeps_its_position() {
    let versions: VersionTable = postcard::from_bytes(&[0, 7]).unwrap();
    assert!(versions.is_empty() && versions.is_compacted(7) && !versions.is_compacted(8));
    assert_eq!(postcard::to_allocvec(&versions).unwrap(), [0, 7]);
    let none: VersionTable = postcard::from_bytes(&[0, 0]).unwrap();
    assert!(!none.is_compacted(0), "0 means that none was dropped");
    assert_eq!(postcard::to_allocvec(&none).unwrap(), [0, 0]);
}

/// Replicas of different versions exchange digests, so they must compute the same digest for the same state.
#[test]
fn digests_of_the_replicated_state_stay_the_same() {
    let mut pinned = Pinned::new("digests.hex", include_str!("fixtures/digests.hex"));
    pinned.assert_bytes("empty", &ReplicatedState::default().digest().to_be_bytes());
    pinned.assert_bytes("held", &replicated().digest().to_be_bytes());
    assert_ne!(lowest().digest(), ReplicatedState::default().digest());
    pinned.assert_complete();
}
