//! The errors of a control node.

use aspendrum_model::servers::InvalidServerPage;
use aspendrum_model::settings::SettingsError;
use aspendrum_net::http_client::HttpClientError;
use aspendrum_net::process_signals::SignalError;
use derive_more::{Display, Error};
use std::io;
use std::path::PathBuf;

/// Why the state cannot be read from the disk or written to it.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The database's folder cannot be created.
    #[display("{}: {source}", folder.display())]
    CreateFolder {
        /// The folder.
        folder: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The database cannot be opened.
    #[display("{}: {source}", file.display())]
    Open {
        /// Its file.
        file: PathBuf,
        /// The cause.
        source: redb::DatabaseError,
    },
    /// The database cannot be read or written.
    #[display("{_0}")]
    Database(Box<redb::Error>),
    /// The value under a key is no state of that key's format.
    #[display("{key}: {source}")]
    Decode {
        /// The key, which names the format.
        key: &'static str,
        /// The cause.
        source: postcard::Error,
    },
    /// The state cannot be encoded.
    #[display("{_0}")]
    Encode(postcard::Error),
}

impl StoreError {
    /// An error of the database.
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }
}

/// Why the platform's list of servers cannot be read.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No answer came in time.
    #[display("{_0}")]
    Unanswered(HttpClientError),
    /// The answer has another status than 200.
    #[display("status {_0}")]
    Status(#[error(not(source))] u16),
    /// A page cannot be read.
    #[display("{_0}")]
    InvalidPage(InvalidServerPage),
}

/// Why a control node cannot start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The settings cannot be read.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The disk cannot be read.
    #[display("{_0}")]
    Store(StoreError),
    /// A thread cannot be started or a port cannot be opened.
    #[display("{resource}: {source}")]
    Resource {
        /// The thread or the port.
        resource: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The thread that owns the node's state has ended already.
    #[display("sending on a disconnected channel")]
    NodeThreadEnded,
    /// The process' signals cannot be received.
    #[display("{_0}")]
    Signals(SignalError),
}
