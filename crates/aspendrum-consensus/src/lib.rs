//! Replicated control state: the configuration, the evacuations and the membership of the voters. A change is
//! acknowledged once a majority of the voters' disks has it. There is no log and no leader: registers are read and
//! written by majorities, and ballots decide what needs agreement (the text under a version number, the voters of the
//! next epoch). Without I/O and clock: the shell passes each event with its time and carries out the effects in order.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod ballot;
pub mod campaign;
pub mod holdings;
pub mod membership;
pub mod message;
pub mod numbers;
pub mod reconfigure;
pub mod replica;
pub mod state;

mod changing;
mod deciding;
mod joining;
mod reading;

pub use holdings::{Holdings, Ms, Order, Place};
pub use membership::{Epoch, Voters};
pub use message::Message;
pub use replica::{Effect, Outcome, Replica, Ticket};
pub use state::State;
