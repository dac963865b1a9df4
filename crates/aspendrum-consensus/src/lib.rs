//! The replicated state of the control plane: the operators' configuration, the evacuated zones and the membership of
//! the voters. A command is acknowledged once a majority of the voters' disks holds what it changed.
//!
//! There is no log and no leader. Three protocols work side by side, each on its own part of the state:
//!
//! - Registers that only grow are read and written by majorities ([`ReplicatedState`], after Attiya, Bar-Noy and Dolev,
//!   "Sharing Memory Robustly in Message-Passing Systems", 1995).
//! - The text of each configuration version is decided by an instance of single-decree Paxos of its own (Lamport,
//!   "Paxos Made Simple", 2001).
//! - The voters of the next epoch are decided by Paxos among the voters of this one, and the new voters take over what
//!   the old ones acknowledged before they answer anything (as in Lamport, Malkhi and Zhou, "Vertical Paxos and
//!   Primary-Backup Replication", 2009, without the master that decides on configurations there).
//!
//! # How it works
//!
//! The crate does no I/O and reads no clock. Each control node owns one [`Replica`]. The caller passes it every message
//! that arrives ([`Replica::step`]), every command of an operator ([`Replica::submit`]) and, several times a second,
//! the time ([`Replica::tick`]). Each call returns [`Effect`]s, which the caller carries out in their order: write
//! [`DurableState`] to the disk and sync it, send a [`Message`], report the [`Outcome`] of a command.
//!
//! A command goes to one of two proposing parts. [`Command::SetConfig`] starts a Paxos proposer for its version.
//! [`Command::SetEvacuation`] and [`Command::Read`] start an operation on the registers. Either part sends requests to
//! the voters, the sender's own node included; each voter changes its durable state and replies once the change is
//! synced; the part counts the replies and ends the command when a majority has answered.
//!
//! Every request carries the number of the sender's epoch, and a voter answers only requests of its own epoch. So once
//! a majority of the voters has entered the next epoch, no command can be acknowledged in the former one.
//!
//! # Order of reading
//!
//! 1. `node`, [`membership`] and [`ballot`]: identities, voters and epochs, proposal numbers.
//! 2. [`replicated_state`], [`versions`] and [`state`]: what is replicated, and what one node keeps on its disk.
//! 3. [`message`] and `effect`: the inputs and outputs.
//! 4. [`acceptor`], `proposer` and `voter`: Paxos, and how a voter answers requests.
//! 5. `replica_core`, then `version_proposal`, `quorum_operation`, `membership_change` and `state_transfer`: the parts
//!    of a replica.
//! 6. [`replica`]: composes the parts. [`membership_planner`]: decides when to propose other voters; the caller runs
//!    it.

pub mod acceptor;
pub mod ballot;
pub mod membership;
pub mod membership_planner;
pub mod message;
pub mod node;
pub mod replica;
pub mod replicated_state;
pub mod state;
pub mod versions;

mod effect;
mod membership_change;
mod proposer;
mod quorum_operation;
mod replica_core;
mod state_transfer;
mod version_proposal;
mod voter;

pub use crate::effect::{CommandId, Effect, Outcome};
pub use crate::membership::{Epoch, Voters};
pub use crate::message::Message;
pub use crate::node::{Millis, NodeId};
pub use crate::replica::{Replica, ReplicaOptions};
pub use crate::replicated_state::{Command, ReplicatedState};
pub use crate::state::DurableState;
