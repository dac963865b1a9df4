//! Why days are not played.

use derive_more::{Display, Error};
use std::io;
use std::path::PathBuf;

/// Why days are not played.
#[derive(Debug, Display, Error)]
pub enum DaysError {
    /// A file or a directory cannot be read or written, or a program not be started.
    #[display("{}: {source}", path.display())]
    Io {
        /// Which.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A seed of a day is no number.
    #[display("{day}: the seed {seed} is no number")]
    InvalidSeed {
        /// The day.
        day: String,
        /// The seed.
        seed: String,
    },
    /// A day does not say what it aims at, or where it is played.
    #[display("{day}: its comments must say what it aims at, its sites and its seeds")]
    IncompleteComments {
        /// The day.
        #[error(not(source))]
        day: String,
    },
    /// A day is not TOML.
    #[display("{day}: {source}")]
    InvalidDay {
        /// The day.
        day: String,
        /// Why not.
        source: toml::de::Error,
    },
    /// A day has another name than its file.
    #[display("{day}: the day's name must be that of its file")]
    OtherName {
        /// The file's name.
        #[error(not(source))]
        day: String,
    },
    /// There is no such day.
    #[display("{day} is no day of {}", directory.display())]
    UnknownDay {
        /// The name.
        day: String,
        /// Where days are.
        directory: PathBuf,
    },
    /// Drawn days need sites.
    #[display("name the sites with --only")]
    NoSites,
    /// There is no file of that site.
    #[display("no site file of {site} was found")]
    UnknownSite {
        /// The site.
        #[error(not(source))]
        site: String,
    },
    /// A site's file is not TOML.
    #[display("{}: {source}", path.display())]
    InvalidSite {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: toml::de::Error,
    },
    /// A site's file names no contracts.
    #[display("{}: no contracts", path.display())]
    NoContracts {
        /// The file.
        path: PathBuf,
    },
    /// A thread that plays days panicked.
    #[display("a play failed")]
    PlayPanicked,
}

impl DaysError {
    pub(super) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> DaysError {
        let path = path.into();
        move |source| DaysError::Io { path, source }
    }
}
