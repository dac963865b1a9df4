//! The messages between replicas, encoded with postcard. The encoding identifies variants and fields by position, so
//! their order must not change: replicas of different versions run side by side during an upgrade.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::membership::{Epoch, Voters};
use crate::replicated_state::ReplicatedState;
use crate::versions::{ConfigText, UndecidedVersion, VersionAnswer, VersionTable};
use serde::{Deserialize, Serialize};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request to a voter of `epoch`. A receiver in another epoch replies with [`Message::Epoch`] instead.
    Request {
        /// The sender's epoch.
        epoch: u32,
        /// The request.
        request: Request,
    },
    /// The reply to a request, sent while the sender was a voter of that epoch.
    Reply {
        /// The epoch of the request.
        epoch: u32,
        /// The reply.
        reply: Reply,
    },
    /// The newest epoch known to the sender. Sent to the nodes of a new epoch, and to a node whose message carried
    /// another epoch.
    Epoch(Box<Epoch>),
    /// Announces that `epoch` was decided. The receiver enters it, stops replying in earlier epochs, and sends its
    /// state in [`Message::Sealed`].
    Seal {
        /// The decided epoch.
        epoch: Box<Epoch>,
        /// The digest of the sender's replicated state. A receiver with the same state omits it from its reply.
        digest: u64,
    },
    /// The reply to [`Message::Seal`].
    Sealed(Box<SealReply>),
    /// Announces the decision of a configuration version.
    Decided {
        /// The version.
        version: u32,
        /// The digest of the decided text.
        digest: u64,
    },
    /// Announces that the sender's committed state has advanced. The receiver should read soon to avoid serving an
    /// older state.
    CommitNotice,
}

/// The state of a node that has sealed every epoch before `epoch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SealReply {
    /// The number of the decided epoch.
    pub epoch: u32,
    /// Whether the sender was a voter of the epoch before `epoch`.
    pub was_voter: bool,
    /// Whether the sender has joined `epoch`, and thus holds everything that was acknowledged before it began.
    pub has_joined: bool,
    /// The sender's replicated state; `None` if its digest equals that of the seal.
    pub state: Option<ReplicatedState>,
    /// The sender's acceptors of configuration versions.
    pub versions: VersionTable,
}

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Returns the voter's replicated state.
    Read {
        /// Copied into the reply.
        request_id: u64,
        /// The digest of the sender's replicated state. The reply includes the voter's state only if it differs.
        digest: u64,
    },
    /// Merges `state` into the voter's durable state.
    Write {
        /// Copied into the reply.
        request_id: u64,
        /// The state to merge.
        state: Box<ReplicatedState>,
    },
    /// Phase 1 of the decision of a configuration version.
    Prepare {
        /// The version.
        version: u32,
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// Phase 2 of the decision of a configuration version.
    Accept {
        /// The version.
        version: u32,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed text.
        text: Box<ConfigText>,
    },
    /// Phase 1 of the decision of the next epoch's voters.
    PrepareSuccessor {
        /// The ballot of the proposal.
        ballot: Ballot,
    },
    /// Phase 2 of the decision of the next epoch's voters.
    AcceptSuccessor {
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed voters.
        voters: Voters,
    },
}

/// A voter's answer to [`Request::Read`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The id of the request.
    pub request_id: u64,
    /// The digest of the voter's replicated state.
    pub digest: u64,
    /// The voter's replicated state; `None` if its digest equals that of the request.
    pub state: Option<Box<ReplicatedState>>,
    /// The highest version above the voter's active configuration for which it has accepted a text without knowing the
    /// decision.
    pub undecided: Option<Box<UndecidedVersion>>,
}

/// A voter's answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Request::Read`].
    Read(ReadReply),
    /// Answers [`Request::Write`] once the merged state is synced.
    Written {
        /// The id of the request.
        request_id: u64,
    },
    /// Answers [`Request::Prepare`] and [`Request::Accept`].
    Version {
        /// The version of the request.
        version: u32,
        /// The ballot of the request.
        ballot: Ballot,
        /// The acceptor's answer.
        answer: Box<VersionAnswer>,
    },
    /// Answers [`Request::PrepareSuccessor`] and [`Request::AcceptSuccessor`].
    Successor {
        /// The ballot of the request.
        ballot: Ballot,
        /// The acceptor's answer.
        answer: SuccessorAnswer,
    },
}

/// A voter's answer to a proposal of the next epoch's voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuccessorAnswer {
    /// Phase 1 is granted. Carries the proposal that the voter has accepted before, if any.
    Promised(Option<Accepted<Voters>>),
    /// Phase 2 is granted.
    Accepted,
    /// The request is rejected: the voter has promised this higher ballot.
    Preempted(Ballot),
}
