//! The replicated state of the control plane: the operators' configuration, the evacuated zones and the set of voters.
//! A command is acknowledged once its effect is stored on the disks of a majority of the voters.
//!
//! There is no log and no leader. Three protocols run side by side, each on its own part of the state:
//!
//! - Monotonic registers are read from and written to majorities ([`ReplicatedState`], after Attiya, Bar-Noy and Dolev,
//!   "Sharing Memory Robustly in Message-Passing Systems", 1995).
//! - The text of each configuration version is decided by a separate instance of single-decree Paxos (Lamport,
//!   "Paxos Made Simple", 2001).
//! - The voters of the next epoch are decided by Paxos among the voters of the current one. The new voters transfer the
//!   state that the previous voters acknowledged before they answer requests (as in Lamport, Malkhi and Zhou, "Vertical
//!   Paxos and Primary-Backup Replication", 2009, but without its configuration master).
//!
//! # Architecture
//!
//! The crate does no I/O and reads no clock. Each control node owns one [`Replica`]. The caller passes it every
//! received message ([`Replica::step`]), every operator command ([`Replica::submit`]) and, several times a second, the
//! current time ([`Replica::tick`]). Each call returns [`Effect`]s, which the caller performs in order: write
//! [`DurableState`] to disk and sync it, send a [`Message`], report the [`CommandOutcome`] of a command.
//!
//! A command is handled by one of two components. [`Command::SetConfig`] starts a Paxos proposer for its version.
//! [`Command::SetEvacuation`] and [`Command::Read`] start an operation on the registers. Both components send requests
//! to the voters, including the local node. Each voter updates its durable state and replies once the change is synced.
//! The component counts the replies and completes the command when a majority has replied.
//!
//! Every request carries the sender's epoch number, and a voter answers only requests of its own epoch. Once a majority
//! of the voters has entered the next epoch, no command can be acknowledged in the previous one.
//!
//! # Module overview
//!
//! 1. `node`, [`membership`] and [`ballot`]: identities, voters and epochs, proposal numbers.
//! 2. [`replicated_state`], [`versions`] and [`state`]: the replicated state, and the durable state of one node.
//! 3. [`message`] and `effect`: the inputs and outputs.
//! 4. [`acceptor`], `proposer` and `voter`: Paxos, and the request handling of a voter.
//! 5. `replica_core`, then `version_proposal`, `quorum_operation`, `membership_change` and `state_transfer`: the
//!    components of a replica.
//! 6. [`replica`]: composes the components. [`membership_planner`]: decides when to propose a change of the voters; it
//!    is run by the caller.

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

pub use crate::effect::{CommandId, CommandOutcome, Effect};
pub use crate::membership::{Epoch, Voters};
pub use crate::message::Message;
pub use crate::node::{Millis, NodeId};
pub use crate::replica::{Replica, ReplicaOptions};
pub use crate::replicated_state::{Command, ReplicatedState};
pub use crate::state::DurableState;
