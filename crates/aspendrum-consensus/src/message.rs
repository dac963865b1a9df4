//! What the machines of control say to each other about what they hold.

use crate::ballot::Ballot;
use crate::holdings::Holdings;
use crate::membership::{Epoch, Voters};
use crate::numbers::{Answer, Numbers, Text};
use serde::{Deserialize, Serialize};

/// A text that was accepted under a number and is not known to be decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenNumber {
    pub number: u32,
    pub ballot: Ballot,
    pub text: Text,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a voter of that epoch. Only one that votes in it replies.
    Request {
        epoch: u32,
        request: Request,
    },
    /// Given while the sender voted in that epoch.
    Reply {
        epoch: u32,
        reply: Reply,
    },
    /// The newest epoch that the sender knows of, to whoever spoke in another.
    Epoch(Box<Epoch>),
    /// That epoch was decided: the receiver closes the one before for ever, and tells what it holds if that is not what
    /// `digest` says.
    Seal {
        epoch: Box<Epoch>,
        digest: u64,
    },
    Sealed(Box<Sealed>),
    /// The text of that digest was decided under that number.
    Decided {
        number: u32,
        digest: u64,
    },
    /// Something was acknowledged: whoever passes news on may want to read.
    Nudge,
}

/// What a machine holds that has closed the epoch before `epoch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sealed {
    pub epoch: u32,
    /// It was a voter of the epoch before.
    pub voted: bool,
    /// It votes in `epoch` already: it holds all that was acknowledged before.
    pub joined: bool,
    /// None: the same as the asker.
    pub held: Option<Holdings>,
    pub numbers: Numbers,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// What do you hold? Answered in full only if it differs from the digest.
    Read {
        round: u64,
        digest: u64,
    },
    Write {
        round: u64,
        held: Box<Holdings>,
    },
    Prepare {
        number: u32,
        ballot: Ballot,
    },
    Accept {
        number: u32,
        ballot: Ballot,
        text: Box<Text>,
    },
    /// The same about the voters of the next epoch.
    PrepareSuccessor {
        ballot: Ballot,
    },
    AcceptSuccessor {
        ballot: Ballot,
        voters: Voters,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    Read {
        round: u64,
        digest: u64,
        held: Option<Box<Holdings>>,
        /// Of the highest number above that of the configuration held.
        open: Option<Box<OpenNumber>>,
    },
    Written {
        round: u64,
    },
    Number {
        number: u32,
        ballot: Ballot,
        answer: Box<Answer>,
    },
    Successor {
        ballot: Ballot,
        answer: SuccessorAnswer,
    },
}

/// How a voter answers whoever proposes the voters of the next epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuccessorAnswer {
    Promised(Option<(Ballot, Voters)>),
    Accepted,
    /// It has promised a higher ballot.
    Refused(Ballot),
}
