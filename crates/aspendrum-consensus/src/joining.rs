//! How an epoch takes over from the one before. A machine that learns of an epoch closes the one before for ever: it
//! answers nothing in it any more. Whoever votes in the new epoch has a majority of the voters before closed and takes
//! in what they hold, or all that one machine holds which has done so already; only then it answers.
//!
//! Why nothing is lost: what was acknowledged in an epoch was stored by a majority of its voters before they closed it,
//! and any majority that is closed later shares a voter with that one.

use crate::ballot::Acceptor;
use crate::holdings::{Ms, Place};
use crate::membership::Epoch;
use crate::message::{Message, Sealed};
use crate::replica::{Effect, Replica, RESEND_MS};
use std::collections::BTreeSet;

/// What a new voter has learned of the epoch before.
#[derive(Default)]
pub(crate) struct Joining {
    /// Voters of the epoch before that have closed it and told what they hold.
    closed: BTreeSet<Place>,
    sent_at: Ms,
}

impl Replica {
    /// Another machine says which epoch it knows of.
    pub fn heard_epoch_from(&mut self, now: Ms, from: Place, epoch: Epoch) -> Vec<Effect> {
        self.now = now;
        self.heard_epoch(from, epoch);
        self.finish()
    }

    pub(crate) fn heard_epoch(&mut self, from: Place, epoch: Epoch) {
        if epoch.succeeds(&self.state.epoch) {
            self.adopt(epoch);
        } else if self.state.epoch.succeeds(&epoch) {
            self.tell_epoch(from);
        }
    }

    pub(crate) fn tell_epoch(&mut self, to: Place) {
        // Also one without voters: whoever knows more answers with that.
        self.send(to, Message::Epoch(Box::new(self.state.epoch.clone())));
    }

    /// That epoch was decided: the one before is closed here.
    pub(crate) fn adopt(&mut self, epoch: Epoch) {
        self.state.epoch = epoch;
        self.state.joined = false;
        self.state.successor = Acceptor::default();
        (self.change, self.joining) = (None, Joining::default());
        self.effects.push(Effect::Persist);
        self.effects.push(Effect::EpochChanged);
        if self.votes() {
            self.request_seals();
        }
        self.restart_numbers();
        self.restart_reads(|_| true);
    }

    fn request_seals(&mut self) {
        self.joining.sent_at = self.now;
        let epoch = &self.state.epoch;
        let missing = |p: &Place| !self.joining.closed.contains(p);
        let all = epoch.previous.places().chain(epoch.voters.places());
        let to: BTreeSet<Place> = all.filter(missing).collect();
        let message = Message::Seal {
            epoch: Box::new(epoch.clone()),
            digest: self.state.held.digest(),
        };
        for place in to {
            self.send(place, message.clone());
        }
    }

    pub(crate) fn resend_seals(&mut self) {
        if self.votes() && !self.state.joined && self.now - self.joining.sent_at >= RESEND_MS {
            self.request_seals();
        }
    }

    pub(crate) fn seal(&mut self, from: Place, epoch: Epoch, digest: u64) {
        let number = epoch.number;
        self.heard_epoch(from, epoch);
        if self.state.epoch.number != number || self.is_guest() {
            return;
        }
        let held = Some(self.state.held.clone()).filter(|held| held.digest() != digest);
        let voted = self.state.votes_among(&self.state.epoch.previous, self.me);
        let (joined, numbers) = (self.joined(), self.state.numbers.clone());
        let sealed = Sealed {
            epoch: number,
            voted,
            joined,
            held,
            numbers,
        };
        self.send(from, Message::Sealed(Box::new(sealed)));
    }

    pub(crate) fn sealed(&mut self, from: Place, sealed: Sealed) {
        let epoch = &self.state.epoch;
        if self.state.joined || sealed.epoch != epoch.number || !self.votes() {
            return;
        }
        let quorum = epoch.previous.quorum();
        if let Some(held) = &sealed.held {
            self.join_held(held);
        }
        self.state.numbers.inherit(&sealed.numbers);
        if sealed.voted {
            self.joining.closed.insert(from);
        }
        if sealed.joined || self.joining.closed.len() >= quorum {
            self.state.joined = true;
            self.effects.push(Effect::EpochChanged);
        }
        self.effects.push(Effect::Persist);
    }
}
