//! Why a proxy does not start, or ends early.

use aspendrum_model::settings::SettingsError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;

/// Why a proxy does not start, or ends early.
#[derive(Debug, Display, Error)]
pub enum ProxyError {
    /// The settings cannot be read.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The settings name no address for clients.
    #[display("net.binds.front is missing")]
    NoListenAddress,
    /// A socket or a thread that the proxy needs.
    #[display("{component}: {source}")]
    Start {
        /// What it is for.
        component: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[display("{_0}")]
    Signals(SignalError),
}

impl ProxyError {
    /// What the system says of a component that does not start.
    pub(crate) fn of_component(component: &'static str) -> impl FnOnce(io::Error) -> ProxyError {
        move |source| ProxyError::Start { component, source }
    }
}
