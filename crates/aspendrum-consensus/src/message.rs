//! The messages between replicas, encoded with postcard. Variants and fields are identified by their order, which must
//! not change: replicas of two versions run side by side during an update.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::membership::{Epoch, Voters};
use crate::replicated_state::ReplicatedState;
use crate::versions::{ConfigText, OpenVersion, VersionAnswer, VersionTable};
use serde::{Deserialize, Serialize};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A request to a voter of `epoch`. A node that is in another epoch sends its own epoch back instead of replying.
    Request {
        /// The sender's epoch.
        epoch: u32,
        /// The request.
        request: Request,
    },
    /// The answer to a request, given while the sender voted in that epoch.
    Reply {
        /// The epoch of the request.
        epoch: u32,
        /// The reply.
        reply: Reply,
    },
    /// The newest epoch that the sender knows of, sent to a node whose message named another epoch.
    Epoch(Box<Epoch>),
    /// `epoch` was decided: the receiver enters it, never again replies in an earlier epoch, and sends its state in
    /// [`Message::Sealed`].
    Seal {
        /// The epoch that was decided.
        epoch: Box<Epoch>,
        /// The digest of the sender's replicated state: a receiver with the same state leaves it out of its answer.
        digest: u64,
    },
    /// The answer to a seal.
    Sealed(Box<SealReply>),
    /// A configuration version was decided.
    Decided {
        /// The version.
        version: u32,
        /// The digest of the decided text.
        digest: u64,
    },
    /// Another node committed a command: the receiver should read soon, so that it does not serve an older state.
    CommitNotice,
}

/// The state of a node that has closed every epoch before `epoch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SealReply {
    /// The number of the epoch that was decided.
    pub epoch: u32,
    /// Whether the sender was a voter of the epoch before `epoch`.
    pub was_voter: bool,
    /// Whether the sender has joined `epoch` already, and so holds everything that was acknowledged before it began.
    pub has_joined: bool,
    /// The sender's replicated state; none if its digest equals that of the seal.
    pub state: Option<ReplicatedState>,
    /// The sender's part in deciding configuration versions.
    pub versions: VersionTable,
}

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Returns the voter's replicated state.
    Read {
        /// Copied into the reply.
        request_id: u64,
        /// The digest of the sender's replicated state: the reply carries the voter's state only if it differs.
        digest: u64,
    },
    /// Merges `state` into the voter's durable state.
    Write {
        /// Copied into the reply.
        request_id: u64,
        /// The state to merge.
        state: Box<ReplicatedState>,
    },
    /// Phase 1 of deciding a configuration version.
    Prepare {
        /// The version.
        version: u32,
        /// The proposal's number.
        ballot: Ballot,
    },
    /// Phase 2 of deciding a configuration version.
    Accept {
        /// The version.
        version: u32,
        /// The proposal's number.
        ballot: Ballot,
        /// The proposed text.
        text: Box<ConfigText>,
    },
    /// Phase 1 of deciding the voters of the next epoch.
    PrepareSuccessor {
        /// The proposal's number.
        ballot: Ballot,
    },
    /// Phase 2 of deciding the voters of the next epoch.
    AcceptSuccessor {
        /// The proposal's number.
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
    /// The voter's replicated state; none if its digest equals that of the request.
    pub state: Option<Box<ReplicatedState>>,
    /// The highest version above the configuration in force that the voter has accepted and does not know to be
    /// decided.
    pub open: Option<Box<OpenVersion>>,
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
        /// The version that the request is about.
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

/// A voter's answer to a proposer of the next epoch's voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuccessorAnswer {
    /// Phase 1 is granted. Carries the proposal that the voter had accepted before, if any.
    Promised(Option<Accepted<Voters>>),
    /// Phase 2 is granted.
    Accepted,
    /// The voter has promised this higher ballot before.
    Preempted(Ballot),
}
