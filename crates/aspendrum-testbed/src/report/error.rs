//! Errors of writing a report.

use derive_more::{Display, Error};
use plotters::prelude::DrawingAreaErrorKind;
use std::io;
use std::path::{Path, PathBuf};

/// An error of writing a report.
#[derive(Debug, Display, Error)]
pub enum ReportError {
    /// A file or a directory cannot be written.
    #[display("{}: {source}", path.display())]
    Io {
        /// The path of the file or directory.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A CSV file cannot be written.
    #[display("{}: {source}", path.display())]
    Table {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: csv::Error,
    },
    /// A chart cannot be drawn.
    #[display("{}: {source}", path.display())]
    Chart {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: DrawingAreaErrorKind<io::Error>,
    },
}

impl ReportError {
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> ReportError {
        let path = path.to_path_buf();
        move |source| ReportError::Io { path, source }
    }

    pub(super) fn table(path: &Path) -> impl Fn(csv::Error) -> ReportError + use<'_> {
        move |source| ReportError::Table {
            path: path.to_path_buf(),
            source,
        }
    }
}
