//! The actions that a replica requests from its caller.

use crate::message::Message;
use crate::node::NodeId;
use crate::replicated_state::ReplicatedState;

/// Identifies a pending command. The caller assigns it, and the outcome of the command is reported under it.
pub type CommandId = u64;

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// A majority of disks holds the command's effect, or a later version has replaced it. Carries the state that is
    /// known to be committed.
    Committed(Box<ReplicatedState>),
    /// Another text was decided for the version, so the command's text will never be applied on any node.
    VersionConflict,
    /// No majority replied in time. The command may still take effect.
    NoQuorum,
}

/// An action for the caller to perform. Effects must be performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the durable state to disk and sync it before any subsequent effect, of this call or a later one.
    Persist,
    /// Send a message. The receiver may be the sender itself: its own vote also counts only after it is synced.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Report the outcome of a command to the caller that submitted it.
    Completed {
        /// The id under which the command was submitted.
        command_id: CommandId,
        /// The outcome.
        outcome: CommandOutcome,
    },
    /// The committed state has advanced.
    CommittedAdvanced,
    /// This node has entered another epoch, or has joined its current one.
    EpochChanged,
}
