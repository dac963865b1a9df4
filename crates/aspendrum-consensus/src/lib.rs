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
//! The crate does no I/O and reads no clock. The caller passes each message and each tick with its time to a
//! [`Replica`], and carries out the [`Effect`]s that come back, in their order.

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
mod quorum_read;
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
