//! Errors that prevent a proxy from starting, or end it early.

use aspendrum_model::settings::SettingsError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;

/// An error that prevents a proxy from starting, or ends it early.
#[derive(Debug, Display, Error)]
pub enum ProxyError {
    /// The settings cannot be loaded.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The settings contain no address for clients.
    #[display("net.binds.front is missing")]
    NoListenAddress,
    /// A required socket or thread cannot be created.
    #[display("{component}: {source}")]
    Start {
        /// The component that needs it.
        component: &'static str,
        /// The I/O error.
        source: io::Error,
    },
    /// Signal handling cannot be set up.
    #[display("{_0}")]
    Signals(SignalError),
}

impl ProxyError {
    /// Returns a function that converts an I/O error into the error of a component that cannot start.
    pub(crate) fn for_component(component: &'static str) -> impl FnOnce(io::Error) -> ProxyError {
        move |source| ProxyError::Start { component, source }
    }
}
