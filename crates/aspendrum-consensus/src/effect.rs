//! What a replica asks its caller to do.

use crate::message::Message;
use crate::node::NodeId;
use crate::replicated_state::ReplicatedState;

/// Identifies a pending command. Chosen by the caller; the command's outcome is reported under this id.
pub type CommandId = u64;

/// How a command ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A majority of disks holds what the command changed. Carries everything that is known to be committed.
    Committed(Box<ReplicatedState>),
    /// Another text was decided for the version, so the command's text will never be in force on any node.
    VersionConflict,
    /// No majority answered in time. The command may still take effect.
    NoQuorum,
}

/// An action that the caller has to carry out. Effects must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the state to the disk and sync it before any effect that follows, of this call or a later one.
    Persist,
    /// Send a message. The receiver may be the sender itself: its own vote, too, counts only once it is synced.
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
        /// How it ended.
        outcome: Outcome,
    },
    /// The committed state has grown.
    CommittedAdvanced,
    /// Another epoch began, or this node joined it.
    EpochChanged,
}
