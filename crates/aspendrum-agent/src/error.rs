//! Why an agent does not start, or ends early.

use aspendrum_model::settings::SettingsError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;

/// Why an agent does not start, or ends early.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    /// The settings cannot be read.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket or a thread that the agent needs.
    #[display("{component}: {source}")]
    Start {
        /// What it is for.
        component: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The coordinator's thread has ended.
    #[display("coordinator: its thread has ended")]
    CoordinatorEnded,
    /// Signals cannot be received.
    #[display("{_0}")]
    Signals(SignalError),
}

impl AgentError {
    /// What the system says of a component that does not start.
    pub(crate) fn of_component(component: &'static str) -> impl FnOnce(io::Error) -> AgentError {
        move |source| AgentError::Start { component, source }
    }
}
