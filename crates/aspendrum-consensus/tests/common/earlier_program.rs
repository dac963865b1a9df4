//! The program version before version 0 was distinguished from "no configuration", as a voter: it answers that version 0
//! was dropped, and does not store it.

use aspendrum_consensus::message::{Message, Reply, Request};
use aspendrum_consensus::versions::VersionAnswer;
use aspendrum_consensus::ReplicatedState;

/// How a voter of the earlier program version handles a message.
pub(super) enum Handling {
    /// Like the current one handles this message.
    Pass(Message),
    /// With this answer.
    Answer(Message),
}

pub(super) fn handle(message: &Message) -> Handling {
    match message {
        Message::Request {
            epoch,
            request:
                Request::Prepare { version: 0, ballot }
                | Request::Accept {
                    version: 0, ballot, ..
                },
        } => Handling::Answer(Message::Reply {
            epoch: *epoch,
            reply: Reply::Version {
                version: 0,
                ballot: *ballot,
                answer: Box::new(VersionAnswer::Compacted),
            },
        }),
        Message::Request {
            epoch,
            request: Request::Write { request_id, state },
        } => Handling::Pass(Message::Request {
            epoch: *epoch,
            request: Request::Write {
                request_id: *request_id,
                state: Box::new(without_lowest_version(state)),
            },
        }),
        Message::Decided { version: 0, .. } => Handling::Pass(Message::CommitNotice),
        message => Handling::Pass(message.clone()),
    }
}

fn without_lowest_version(state: &ReplicatedState) -> ReplicatedState {
    let config = state.config.clone().filter(|config| config.version > 0);
    ReplicatedState {
        config,
        ..state.clone()
    }
}
