//! Error types of the client.

use aspendrum_model::config::ConfigError;
use aspendrum_net::http_client::HttpClientError;
use derive_more::{Display, Error, From};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

/// An error that prevents a command from completing. Its text is shown to operators.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ClientError {
    /// A file cannot be read.
    #[display("{}: {source}", file.display())]
    #[from(skip)]
    UnreadableFile {
        file: PathBuf,
        source: std::io::Error,
    },
    /// No control node acknowledged or refused a command in time.
    #[display(
        "no control node acknowledged the command within {timeout:?}; it may still be committed; \
         last failure: {last_failure}"
    )]
    #[from(skip)]
    NotAcknowledged {
        timeout: Duration,
        last_failure: CallError,
    },
    /// The request for the current configuration was refused.
    #[display("the control node refused the request with status {status}")]
    #[from(skip)]
    Refused {
        #[error(not(source))]
        status: u16,
    },
    /// No control node answered a query. Contains the last failure.
    #[display("{_0}")]
    NoAnswer(CallError),
    /// The current configuration is invalid.
    #[display("{_0}")]
    InvalidConfig(ConfigError),
}

/// The failure of a call to one control node.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// No control node was given.
    #[display("no control node was given")]
    NoNode,
    /// No valid response was received.
    #[display("{node}: {source}")]
    NoResponse {
        node: SocketAddrV4,
        source: HttpClientError,
    },
    /// The node responded with an error status.
    #[display("{node} answered {status}")]
    Status { node: SocketAddrV4, status: u16 },
    /// The response is not valid JSON.
    #[display("{node}: {source}")]
    InvalidJson {
        node: SocketAddrV4,
        source: serde_json::Error,
    },
}
