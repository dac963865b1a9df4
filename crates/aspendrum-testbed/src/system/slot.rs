//! One process of a run: what it is, where its settings and its log are, and its life.

use crate::process::Process;
use crate::program::Program;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A process that was started longer ago has loaded its program and runs it.
const LOADING_TIME: Duration = Duration::from_millis(50);

/// One process.
pub struct Slot {
    program: Program,
    /// Where its settings are.
    pub(super) settings: PathBuf,
    log: PathBuf,
    /// Where its disk is, if it has one.
    pub(super) disk: Option<PathBuf>,
    started_at: Option<Instant>,
    /// The process, while it runs.
    pub process: Option<Process>,
}

impl Slot {
    /// A process that has not been started, of that name; its files are in `folder`.
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

    /// Starts it, if it does not run.
    ///
    /// # Errors
    /// The error of the start.
    pub fn up(&mut self) -> io::Result<()> {
        if self.process.is_none() {
            self.process = Some(Process::start(&self.program, &self.settings, &self.log)?);
            self.started_at = Some(Instant::now());
        }
        Ok(())
    }

    /// Kills it, if it runs.
    pub async fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().await;
        }
    }

    /// Removes its disk.
    ///
    /// # Errors
    /// The error of the removal.
    pub fn wipe(&self) -> io::Result<()> {
        self.disk.as_ref().map_or(Ok(()), std::fs::remove_dir_all)
    }

    /// Of the process that runs, as the kernel names it.
    pub fn id(&self) -> Option<i32> {
        self.process.as_ref().map(Process::id)
    }

    /// It has only just been started: before its first instruction no program can ask for signals.
    pub fn is_loading(&self) -> bool {
        let is_new = |at: Instant| at.elapsed() < LOADING_TIME;
        self.process.is_some() && self.started_at.is_some_and(is_new)
    }

    /// Sends it a signal, unless it is loading.
    ///
    /// # Errors
    /// The error of the signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self.process.as_ref().filter(|_| !self.is_loading());
        process.map_or(Ok(()), |process| process.signal(signal))
    }

    /// The most violations of its invariants that one of its lives has reported.
    pub fn violations(&self) -> u64 {
        let reported = |line: &str| {
            let (_, behind) = line.split_once(" violations=")?;
            behind.split(' ').next()?.parse().ok()
        };
        self.log().lines().filter_map(reported).max().unwrap_or(0)
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
