//! A process of a run with its settings, log and disk, across restarts.

use crate::process::Process;
use crate::program::Program;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The time after which a started process is assumed to run its own code.
const LOADING_TIME: Duration = Duration::from_millis(50);

/// A process of a run that can be started, signalled and killed.
pub struct Slot {
    program: Program,
    /// The settings file.
    pub(super) settings: PathBuf,
    log: PathBuf,
    /// The directory of persistent data, if the process has one.
    pub(super) disk: Option<PathBuf>,
    started_at: Option<Instant>,
    /// The process, while it runs.
    pub process: Option<Process>,
}

impl Slot {
    /// Creates a slot whose process has not been started. `name` is the base name of its files in `folder`.
    pub(super) fn new(program: &Program, folder: &Path, name: &str, disk: Option<PathBuf>) -> Slot {
        Slot {
            program: program.clone(),
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            disk,
            started_at: None,
            process: None,
        }
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    /// Returns the error of the start.
    pub fn ensure_running(&mut self) -> io::Result<()> {
        if self.process.is_none() {
            self.process = Some(Process::start(&self.program, &self.settings, &self.log)?);
            self.started_at = Some(Instant::now());
        }
        Ok(())
    }

    /// Kills the process if it is running.
    pub async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Removes the directory of persistent data, if there is one.
    ///
    /// # Errors
    /// Returns the error of the removal.
    pub fn wipe(&self) -> io::Result<()> {
        self.disk.as_ref().map_or(Ok(()), std::fs::remove_dir_all)
    }

    /// Returns the process id of the running process.
    pub fn pid(&self) -> Option<i32> {
        self.process.as_ref().map(Process::id)
    }

    /// Whether the process was started so recently that it may not have installed its signal handlers.
    pub fn is_loading(&self) -> bool {
        let is_new = |at: Instant| at.elapsed() < LOADING_TIME;
        self.process.is_some() && self.started_at.is_some_and(is_new)
    }

    /// Sends a signal to the process, unless it is loading or not running.
    ///
    /// # Errors
    /// Returns the error of sending the signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self.process.as_ref().filter(|_| !self.is_loading());
        process.map_or(Ok(()), |process| process.signal(signal))
    }

    /// Returns the highest count of invariant violations in the log. The count starts at 0 in each process.
    pub fn violations(&self) -> u64 {
        let reported = |line: &str| {
            let (_, rest) = line.split_once(" violations=")?;
            rest.split(' ').next()?.parse().ok()
        };
        self.log().lines().filter_map(reported).max().unwrap_or(0)
    }

    /// Returns the log of all processes of the slot so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
