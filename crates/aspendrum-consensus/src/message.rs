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
    /// To a voter of that epoch, which replies only while it votes in it.
    Request {
        /// The sender's epoch.
        epoch: u32,
        /// What is asked.
        request: Request,
    },
    /// The answer to a request, given while the sender voted in that epoch.
    Reply {
        /// The epoch of the request.
        epoch: u32,
        /// What was asked for.
        reply: Reply,
    },
    /// The newest epoch that the sender knows of, sent to whoever spoke in another.
    Epoch(Box<Epoch>),
    /// That epoch was decided: the receiver closes the one before for ever and sends what it holds.
    Seal {
        /// The epoch that was decided.
        epoch: Box<Epoch>,
        /// Of the sender's replicated state: a receiver with the same state need not send it.
        digest: u64,
    },
    /// The answer to a seal.
    Sealed(Box<SealReply>),
    /// A configuration version was decided.
    Decided {
        /// The version.
        version: u32,
        /// Of its text.
        digest: u64,
    },
    /// A command was committed somewhere: the receiver may want to read soon.
    CommitNotice,
}

/// What a node holds that has closed the epoch before `epoch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SealReply {
    /// The number of the epoch that was decided.
    pub epoch: u32,
    /// The sender was a voter of the epoch before.
    pub was_voter: bool,
    /// The sender has joined `epoch` already: it holds everything that was acknowledged before.
    pub has_joined: bool,
    /// The sender's state; none if it is the asker's.
    pub state: Option<ReplicatedState>,
    /// The sender's part in deciding configuration versions.
    pub versions: VersionTable,
}

/// What is asked of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// What do you hold?
    Read {
        /// Comes back with the reply.
        request_id: u64,
        /// Of the sender's state: the full state is sent back only if it differs.
        digest: u64,
    },
    /// Store that state, merged into your own.
    Write {
        /// Comes back with the reply.
        request_id: u64,
        /// What is to be stored.
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

/// What a voter holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Of the request.
    pub request_id: u64,
    /// Of the voter's state.
    pub digest: u64,
    /// The voter's state; none if it is the asker's.
    pub state: Option<Box<ReplicatedState>>,
    /// The highest version above the configuration in force that the voter has accepted and does not know to be decided.
    pub open: Option<Box<OpenVersion>>,
}

/// A voter's answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::Read`].
    Read(ReadReply),
    /// To [`Request::Write`]: it is stored.
    Written {
        /// Of the request.
        request_id: u64,
    },
    /// To [`Request::Prepare`] and [`Request::Accept`].
    Version {
        /// Of the request.
        version: u32,
        /// Of the request.
        ballot: Ballot,
        /// The acceptor's answer.
        answer: Box<VersionAnswer>,
    },
    /// To [`Request::PrepareSuccessor`] and [`Request::AcceptSuccessor`].
    Successor {
        /// Of the request.
        ballot: Ballot,
        /// The acceptor's answer.
        answer: SuccessorAnswer,
    },
}

/// A voter's answer to whoever proposes the voters of the next epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuccessorAnswer {
    /// Phase 1 is granted; what was accepted before.
    Promised(Option<Accepted<Voters>>),
    /// Phase 2 is granted.
    Accepted,
    /// That higher ballot was promised before.
    Preempted(Ballot),
}
