//! A proposer's way through one decision: collects promises, then acceptances, and backs off when it is outbid.

use crate::ballot::{Ballot, Proposal};
use crate::holdings::{Ms, Place};
use std::collections::BTreeSet;

/// How far a campaign has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Preparing,
    Accepting,
    /// It was outbid and begins anew then.
    BackedOff {
        until: Ms,
    },
}

/// One machine's attempt to have a value decided among the voters of an epoch.
#[derive(Clone, Debug)]
pub struct Campaign<V> {
    proposal: Proposal<V>,
    stage: Stage,
    /// When the requests of this stage were sent last.
    pub sent_at: Ms,
    /// Who has answered as this stage wants it, and who has refused.
    granted: BTreeSet<Place>,
    refused: BTreeSet<Place>,
}

impl<V: Clone> Campaign<V> {
    fn at(stage: Stage, proposal: Proposal<V>, now: Ms) -> Campaign<V> {
        let (granted, refused) = (BTreeSet::new(), BTreeSet::new());
        Campaign {
            proposal,
            stage,
            sent_at: now,
            granted,
            refused,
        }
    }

    /// Begins with a value of its own.
    pub fn begin(ballot: Ballot, value: V, now: Ms) -> Campaign<V> {
        Campaign::at(Stage::Preparing, Proposal::new(ballot, value), now)
    }

    /// Has a value accepted under the ballot under which some voter has accepted it already.
    pub fn complete(ballot: Ballot, value: V, now: Ms) -> Campaign<V> {
        Campaign::at(Stage::Accepting, Proposal::complete(ballot, value), now)
    }

    /// Begins anew with the same value under another ballot, whoever the voters are now.
    pub fn restart(&mut self, ballot: Ballot, now: Ms) {
        *self = Campaign::at(Stage::Preparing, self.proposal.again(ballot), now);
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn ballot(&self) -> Ballot {
        self.proposal.ballot
    }

    pub fn value(&self) -> &V {
        self.proposal.value()
    }

    /// Whether that voter's answer to the present stage is still missing.
    pub fn awaits(&self, voter: Place) -> bool {
        !self.granted.contains(&voter)
    }

    /// A voter promised. True: a quorum has, and the value is to be accepted now.
    pub fn promised(&mut self, from: Place, accepted: Option<(Ballot, V)>, quorum: usize) -> bool {
        if self.stage != Stage::Preparing {
            return false;
        }
        self.proposal.promised(accepted);
        self.granted.insert(from);
        let through = self.granted.len() >= quorum;
        if through {
            *self = Campaign::at(Stage::Accepting, self.proposal.clone(), self.sent_at);
        }
        through
    }

    /// A voter accepted the value. True: a quorum has, and it is decided.
    pub fn accepted(&mut self, from: Place, quorum: usize) -> bool {
        if self.stage != Stage::Accepting {
            return false;
        }
        self.granted.insert(from);
        self.granted.len() >= quorum
    }

    /// A voter has promised a higher ballot. Backs off until then once the others are no quorum any more.
    pub fn refused(&mut self, from: Place, voters: usize, quorum: usize, until: Ms) {
        if matches!(self.stage, Stage::BackedOff { .. }) {
            return;
        }
        self.refused.insert(from);
        if voters.saturating_sub(self.refused.len()) < quorum {
            self.stage = Stage::BackedOff { until };
        }
    }
}
