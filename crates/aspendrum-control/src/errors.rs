//! Error types of a control node.

use aspendrum_model::servers::InvalidServerPage;
use aspendrum_model::settings::SettingsError;
use aspendrum_net::http_client::HttpClientError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;
use std::path::PathBuf;

/// An error while reading the state from the disk or writing it.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The data directory cannot be created.
    #[display("{}: {source}", data_dir.display())]
    CreateDataDir {
        /// The data directory.
        data_dir: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The database cannot be opened.
    #[display("{}: {source}", file.display())]
    Open {
        /// The database file.
        file: PathBuf,
        /// The cause.
        source: redb::DatabaseError,
    },
    /// The database cannot be read or written.
    #[display("{_0}")]
    Database(Box<redb::Error>),
    /// A stored value cannot be decoded in the format of its key.
    #[display("{key}: {source}")]
    Decode {
        /// The key, which identifies the format.
        key: &'static str,
        /// The cause.
        source: postcard::Error,
    },
    /// The state cannot be encoded.
    #[display("{_0}")]
    Encode(postcard::Error),
}

impl StoreError {
    /// Wraps an error of the database.
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }
}

/// An error while reading the platform's list of servers.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No valid response was received in time.
    #[display("{_0}")]
    NoResponse(HttpClientError),
    /// The platform responded with a status other than 200.
    #[display("platform responded with status {_0}")]
    Status(#[error(not(source))] u16),
    /// A page of the list cannot be parsed.
    #[display("{_0}")]
    InvalidPage(InvalidServerPage),
    /// The pages together are larger than the memory for the list.
    #[display("the list of servers is longer than {_0} bytes")]
    ListTooLong(#[error(not(source))] usize),
}

/// An error that prevents a control node from starting, or from waiting for its shutdown.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The settings cannot be read.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The database cannot be opened or read.
    #[display("{_0}")]
    Store(StoreError),
    /// A thread cannot be started or a port cannot be opened.
    #[display("{resource}: {source}")]
    Resource {
        /// The name of the thread or the port.
        resource: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The node's thread ended before it received the node.
    #[display("the node's thread ended during startup")]
    NodeThreadEnded,
    /// Signals to the process cannot be received.
    #[display("{_0}")]
    Signals(SignalError),
}
