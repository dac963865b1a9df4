//! Deciding who votes next: the voters of an epoch agree on the set of the epoch after it, by a ballot.

use crate::ballot::Ballot;
use crate::campaign::{Campaign, Stage};
use crate::holdings::Place;
use crate::membership::Voters;
use crate::message::{Message, Reply, Request, SuccessorAnswer};
use crate::replica::{Effect, Replica, ORDER_MS, RESEND_MS};

/// A set of voters that this machine accepted and that is not decided after so long is proposed by this machine: left
/// alone it would be taken up by a change of much later, when its machines may be gone.
const COMPLETE_MS: crate::Ms = ORDER_MS;

impl Replica {
    /// Proposes the voters of the next epoch, unless this machine does so already. Whoever else proposes, one set is
    /// decided.
    pub fn propose(&mut self, now: crate::Ms, voters: Voters) -> Vec<Effect> {
        self.now = now;
        if self.change.is_none() && !voters.is_empty() && voters != self.state.epoch.voters {
            self.change = Some(Campaign::begin(self.new_ballot(), voters, now));
            self.request_change();
        }
        self.finish()
    }

    /// This machine is having the next epoch decided.
    pub fn proposes(&self) -> bool {
        self.change.is_some()
    }

    fn request_change(&mut self) {
        let now = self.now;
        let Some(campaign) = &mut self.change else {
            return;
        };
        campaign.sent_at = now;
        let ballot = campaign.ballot();
        let request = match campaign.stage() {
            Stage::Preparing => Request::PrepareSuccessor { ballot },
            Stage::Accepting => Request::AcceptSuccessor {
                ballot,
                voters: campaign.value().clone(),
            },
            Stage::BackedOff { .. } => return,
        };
        let campaign = campaign.clone();
        self.ask(|voter| campaign.awaits(voter), &request);
    }

    /// Has a set of voters decided that was accepted here, if nobody else does.
    pub(crate) fn complete_change(&mut self) {
        let accepted = self
            .state
            .successor
            .accepted
            .clone()
            .filter(|_| self.joined());
        let Some((ballot, voters)) = accepted else {
            self.accepted_since = None;
            return;
        };
        let known = self.accepted_since.filter(|(known, _)| *known == ballot);
        let (_, since) = *self
            .accepted_since
            .insert(known.unwrap_or((ballot, self.now)));
        if self.change.is_none() && self.now - since >= COMPLETE_MS {
            self.accepted_since = None;
            self.change = Some(Campaign::begin(self.new_ballot(), voters, self.now));
            self.request_change();
        }
    }

    pub(crate) fn resend_change(&mut self) {
        let Some(campaign) = &mut self.change else {
            return;
        };
        match campaign.stage() {
            // Whoever outbid this machine may have been through; if not, whoever sees a reason proposes again.
            Stage::BackedOff { until } if self.now >= until => self.change = None,
            Stage::BackedOff { .. } => {}
            Stage::Preparing | Stage::Accepting if self.now - campaign.sent_at >= RESEND_MS => {
                self.request_change();
            }
            Stage::Preparing | Stage::Accepting => {}
        }
    }

    /// `voters`: to be accepted; none: only the ballot is to be promised.
    pub(crate) fn answer_successor(&mut self, ballot: Ballot, voters: Option<Voters>) -> Reply {
        self.heard_of(ballot);
        let successor = &mut self.state.successor;
        let answer = match voters {
            None => successor.prepare(ballot).map(SuccessorAnswer::Promised),
            Some(voters) => successor
                .accept(ballot, voters)
                .map(|()| SuccessorAnswer::Accepted),
        };
        if answer.is_ok() {
            self.effects.push(Effect::Persist);
        }
        Reply::Successor {
            ballot,
            answer: answer.unwrap_or_else(SuccessorAnswer::Refused),
        }
    }

    pub(crate) fn successor_answered(
        &mut self,
        from: Place,
        ballot: Ballot,
        answer: SuccessorAnswer,
    ) {
        let (voters, quorum, backoff) =
            (self.state.epoch.voters.len(), self.quorum(), self.backoff());
        let Some(campaign) = self.change.as_mut().filter(|c| c.ballot() == ballot) else {
            return;
        };
        match answer {
            SuccessorAnswer::Promised(accepted) => {
                if campaign.promised(from, accepted, quorum) {
                    self.request_change();
                }
            }
            SuccessorAnswer::Accepted => {
                if campaign.accepted(from, quorum) {
                    let epoch = self.state.epoch.next(campaign.value().clone());
                    let concerned = epoch.voters.places().chain(epoch.previous.places());
                    let concerned: Vec<Place> = concerned.filter(|p| *p != self.me).collect();
                    self.adopt(epoch.clone());
                    for to in concerned {
                        self.send(to, Message::Epoch(Box::new(epoch.clone())));
                    }
                }
            }
            SuccessorAnswer::Refused(by) => {
                campaign.refused(from, voters, quorum, backoff);
                self.heard_of(by);
            }
        }
    }
}
