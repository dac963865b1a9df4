//! Errors of reading and playing days.

use derive_more::{Display, Error};
use std::io;
use std::path::PathBuf;

/// An error of reading or playing days.
#[derive(Debug, Display, Error)]
pub enum DaysError {
    /// A file or directory cannot be read or written, or a program cannot be started.
    #[display("{}: {source}", path.display())]
    Io {
        /// The path of the file, directory or program.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A seed of a day is not a number.
    #[display("{day}: the seed {seed} is not a number")]
    InvalidSeed {
        /// The day.
        day: String,
        /// The seed.
        seed: String,
    },
    /// The leading comments of a day lack its purpose, sites or seeds.
    #[display("{day}: the leading comments must state the purpose, the sites and the seeds")]
    IncompleteComments {
        /// The day.
        #[error(not(source))]
        day: String,
    },
    /// A day is not valid TOML.
    #[display("{day}: {source}")]
    InvalidDay {
        /// The day.
        day: String,
        /// The cause.
        source: toml::de::Error,
    },
    /// The name of a day differs from that of its file.
    #[display("{day}: the name of the day must match its file name")]
    NameMismatch {
        /// The name of the file.
        #[error(not(source))]
        day: String,
    },
    /// There is no day of that name.
    #[display("there is no day {day} in {}", directory.display())]
    UnknownDay {
        /// The name of the day.
        day: String,
        /// The directory of days.
        directory: PathBuf,
    },
    /// Generated days need an explicit list of sites.
    #[display("name the sites of the generated days with --only")]
    NoSites,
    /// There is no file for a site.
    #[display("no file was found for the site {site}")]
    UnknownSite {
        /// The site.
        #[error(not(source))]
        site: String,
    },
    /// A site file is not valid TOML.
    #[display("{}: {source}", path.display())]
    InvalidSite {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
    /// A site file has no list of contracts.
    #[display("{}: the list `contracts` is missing", path.display())]
    NoContracts {
        /// The file.
        path: PathBuf,
    },
    /// A thread that plays days panicked.
    #[display("a thread that plays days panicked")]
    PlayPanicked,
}

impl DaysError {
    /// Returns a function that adds a path to an I/O error.
    pub(super) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> DaysError {
        let path = path.into();
        move |source| DaysError::Io { path, source }
    }
}
