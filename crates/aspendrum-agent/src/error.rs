//! Errors that keep an agent from starting or terminate it.

use aspendrum_model::settings::SettingsError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;

/// An error that keeps an agent from starting or terminates it.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    /// The settings could not be read or are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket could not be opened or a thread could not be spawned.
    #[display("{component}: {source}")]
    Start {
        /// The component that needs the socket or thread.
        component: &'static str,
        /// The I/O error.
        source: io::Error,
    },
    /// The coordinator thread has terminated.
    #[display("coordinator thread has terminated")]
    CoordinatorEnded,
    /// Signal handling could not be set up.
    #[display("{_0}")]
    Signals(SignalError),
}

impl AgentError {
    /// Returns a function that converts the I/O error of a component into an [`AgentError`].
    pub(crate) fn start(component: &'static str) -> impl FnOnce(io::Error) -> AgentError {
        move |source| AgentError::Start { component, source }
    }
}
