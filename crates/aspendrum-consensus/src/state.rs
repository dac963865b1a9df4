//! What one machine keeps on its disk.

use crate::ballot::Acceptor;
use crate::holdings::{Holdings, Place};
use crate::membership::{DiskId, Epoch, Voters};
use crate::numbers::Numbers;
use serde::{Deserialize, Serialize};

/// Everything that a machine must not forget. A machine says nothing that rests on it before it is synced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Of configurations only what was decided.
    pub held: Holdings,
    pub numbers: Numbers,
    pub disk: DiskId,
    /// It is the disk that this machine had at the first start of the whole system.
    pub founding: bool,
    /// The newest epoch that is known to be decided: every earlier one is closed here for ever.
    pub epoch: Epoch,
    /// This disk votes in `epoch` and holds all that was acknowledged before that began.
    pub joined: bool,
    /// This voter's part in deciding the epoch after `epoch`.
    pub successor: Acceptor<Voters>,
}

impl State {
    /// An empty disk. `init`: this is the first start of the whole system, and `seeds` are its first machines.
    pub fn empty(me: Place, disk: DiskId, init: bool, seeds: &[Place]) -> State {
        let mut state = State {
            held: Holdings::default(),
            numbers: Numbers::default(),
            disk,
            founding: init,
            epoch: Epoch::default(),
            joined: false,
            successor: Acceptor::default(),
        };
        state.found(me, seeds);
        state
    }

    /// A machine that was there at the first start and knows of no epoch begins with the founding one.
    pub fn found(&mut self, me: Place, seeds: &[Place]) {
        if self.founding && self.epoch.voters.is_empty() {
            self.epoch = Epoch::first(seeds);
            self.joined = self.epoch.voters.names(me);
        }
    }

    /// This machine's disk is one of these voters.
    pub fn votes_among(&self, voters: &Voters, me: Place) -> bool {
        voters.include(me, self.disk, self.founding)
    }
}
