//! The encoding of everything that replicas send each other or keep on disk. Machines of two versions run side by side
//! during an update, and disks outlive it: these bytes must never change. Postcard writes enum variants by their
//! position and fields in their order, so renaming is safe; reordering, splitting, merging and changing a type are not.

mod pinned;

use aspendrum_consensus::ballot::{Acceptor, Ballot};
use aspendrum_consensus::holdings::{Config, Evacuation, Holdings};
use aspendrum_consensus::message::{Message, OpenNumber, Reply, Request, Sealed, SuccessorAnswer};
use aspendrum_consensus::numbers::{Answer, Numbers, Text};
use aspendrum_consensus::{Epoch, State, Voters};
use pinned::Pinned;

fn ballot() -> Ballot {
    Ballot {
        count: 300,
        place: 0x0a00_0001,
        life: 0x0123_4567_0000,
    }
}

fn text() -> Text {
    Text {
        digest: 0xfeed_beef_0000_1234,
        packed: Some(b"packed".to_vec()),
    }
}

fn held() -> Holdings {
    let begun = Evacuation {
        number: 3,
        off: false,
    };
    let finished = Evacuation {
        number: 200,
        off: true,
    };
    Holdings {
        config: Config {
            version: 0x0107,
            text: b"text".to_vec(),
        },
        evacuations: [("z1".to_string(), begun), ("z2".to_string(), finished)].into(),
    }
}

fn voters() -> Voters {
    Voters([(1, 11), (2, 0), (0x0a00_0003, 0x0102_0304_0506_0708)].into())
}

fn epoch() -> Epoch {
    Epoch {
        number: 5,
        voters: voters(),
        previous: Voters::founding(&[1, 2, 3]),
    }
}

/// An undecided version with an accepted text, one with a promise alone, and a decided one.
fn numbers() -> Numbers {
    let mut numbers = Numbers::default();
    numbers.accept(9, ballot(), text(), 7);
    numbers.prepare(10, ballot(), 7);
    numbers.accept(7, ballot(), text(), 7);
    numbers.decide(6, 0x66, 7);
    numbers
}

fn request(request: Request) -> Message {
    Message::Request { epoch: 5, request }
}

fn reply(reply: Reply) -> Message {
    Message::Reply { epoch: 5, reply }
}

fn number(answer: Answer) -> Message {
    reply(Reply::Number {
        number: 8,
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
            round: 1 << 40,
            digest: u64::MAX,
        }),
    );
    pinned.same(
        "request.write",
        &request(Request::Write {
            round: 2,
            held: Box::new(held()),
        }),
    );
    pinned.same(
        "request.prepare",
        &request(Request::Prepare {
            number: 8,
            ballot: ballot(),
        }),
    );
    pinned.same(
        "request.accept",
        &request(Request::Accept {
            number: 8,
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
        &reply(Reply::Read {
            round: 3,
            digest: 4,
            held: None,
            open: None,
        }),
    );
    let open = OpenNumber {
        number: 9,
        ballot: ballot(),
        text: text(),
    };
    let (held, open) = (Some(Box::new(held())), Some(Box::new(open)));
    pinned.same(
        "reply.read.other",
        &reply(Reply::Read {
            round: 3,
            digest: 4,
            held,
            open,
        }),
    );
    pinned.same("reply.written", &reply(Reply::Written { round: 2 }));
    pinned.same("reply.number.promised", &number(Answer::Promised(None)));
    pinned.same(
        "reply.number.promised.accepted",
        &number(Answer::Promised(Some((ballot(), text())))),
    );
    pinned.same("reply.number.accepted", &number(Answer::Accepted));
    pinned.same("reply.number.outbid", &number(Answer::Outbid(ballot())));
    pinned.same("reply.number.known", &number(Answer::Known(77)));
    pinned.same("reply.number.forgotten", &number(Answer::Forgotten));
    pinned.same(
        "reply.successor.promised",
        &successor(SuccessorAnswer::Promised(None)),
    );
    let accepted = SuccessorAnswer::Promised(Some((ballot(), voters())));
    pinned.same("reply.successor.promised.accepted", &successor(accepted));
    pinned.same(
        "reply.successor.accepted",
        &successor(SuccessorAnswer::Accepted),
    );
    pinned.same(
        "reply.successor.refused",
        &successor(SuccessorAnswer::Refused(ballot())),
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
    let same = Sealed {
        epoch: 5,
        voted: true,
        joined: false,
        held: None,
        numbers: Numbers::default(),
    };
    pinned.same("sealed.same", &Message::Sealed(Box::new(same)));
    let held = Some(self::held());
    let other = Sealed {
        epoch: 5,
        voted: false,
        joined: true,
        held,
        numbers: numbers(),
    };
    pinned.same("sealed.other", &Message::Sealed(Box::new(other)));
    pinned.same(
        "decided",
        &Message::Decided {
            number: 8,
            digest: 0xabcd,
        },
    );
    pinned.same("nudge", &Message::Nudge);
    pinned.complete();
}

#[test]
fn the_state_on_disk_keeps_its_bytes() {
    let mut pinned = Pinned::new("state.hex", include_str!("fixtures/state.hex"));
    pinned.same("empty", &State::empty(1, 77, false, &[1, 2, 3]));
    pinned.same("founding", &State::empty(1, 77, true, &[1, 2, 3]));
    let state = State {
        held: held(),
        numbers: numbers(),
        disk: 77,
        founding: true,
        epoch: epoch(),
        joined: true,
        successor: Acceptor {
            promised: ballot(),
            accepted: Some((ballot(), voters())),
        },
    };
    pinned.same("voter", &state);
    let successor = Acceptor {
        promised: ballot(),
        accepted: None,
    };
    pinned.same(
        "voter.promised",
        &State {
            founding: false,
            successor,
            ..state
        },
    );
    pinned.complete();
}

/// The last field of the versions' table: nothing is remembered of versions up to it.
#[test]
fn the_oldest_remembered_version_keeps_its_place() {
    let numbers: Numbers = postcard::from_bytes(&[0, 7]).unwrap();
    assert!(numbers.is_empty() && numbers.forgotten(7) && !numbers.forgotten(8));
    assert_eq!(postcard::to_allocvec(&numbers).unwrap(), [0, 7]);
}

/// What a digest is taken of goes over the wire too: replicas of two versions that hold the same must agree on it.
#[test]
fn digests_of_the_replicated_state_stay_the_same() {
    let mut pinned = Pinned::new("digests.hex", include_str!("fixtures/digests.hex"));
    pinned.same_bytes("empty", &Holdings::default().digest().to_be_bytes());
    pinned.same_bytes("held", &held().digest().to_be_bytes());
    pinned.complete();
}
