//! Why the client cannot do what it was told to.

use aspendrum_model::config::ConfigError;
use aspendrum_net::http_client::HttpClientError;
use derive_more::{Display, Error, From};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

/// Why a command came to no result. Operators see its text.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ClientError {
    /// A file cannot be read.
    #[display("{}: {source}", file.display())]
    #[from(skip)]
    UnreadableFile {
        file: PathBuf,
        source: std::io::Error,
    },
    /// No control node acknowledged or refused an order in time.
    #[display(
        "no machine of control acknowledged it within {timeout:?}; it may be held all the same; {last_failure}"
    )]
    #[from(skip)]
    NotAcknowledged {
        timeout: Duration,
        last_failure: CallError,
    },
    /// A question was answered with another status than success.
    #[display("status {status}")]
    #[from(skip)]
    Refused {
        #[error(not(source))]
        status: u16,
    },
    /// No control node answered a question; the last failure.
    #[display("{_0}")]
    NoAnswer(CallError),
    /// The configuration that control holds is invalid.
    #[display("{_0}")]
    InvalidConfig(ConfigError),
}

/// Why a call to one control node failed.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// The operator named no node.
    #[display("no machine of control is named")]
    NoNode,
    /// There was no response.
    #[display("{node}: {source}")]
    NoResponse {
        node: SocketAddrV4,
        source: HttpClientError,
    },
    /// It answered with a status that is no success.
    #[display("{node} answered {status}")]
    Status { node: SocketAddrV4, status: u16 },
    /// What it answered is not JSON.
    #[display("{node}: {source}")]
    InvalidJson {
        node: SocketAddrV4,
        source: serde_json::Error,
    },
}
