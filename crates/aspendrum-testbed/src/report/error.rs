//! Why a report cannot be written.

use derive_more::{Display, Error};
use plotters::prelude::DrawingAreaErrorKind;
use std::io;
use std::path::{Path, PathBuf};

/// Why a report cannot be written.
#[derive(Debug, Display, Error)]
pub enum ReportError {
    /// A file or a directory cannot be written.
    #[display("{}: {source}", path.display())]
    Io {
        /// Which.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A table cannot be written.
    #[display("{}: {source}", path.display())]
    Table {
        /// Its file.
        path: PathBuf,
        /// Why not.
        source: csv::Error,
    },
    /// A chart cannot be drawn.
    #[display("{}: {source}", path.display())]
    Chart {
        /// Its file.
        path: PathBuf,
        /// Why not.
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
