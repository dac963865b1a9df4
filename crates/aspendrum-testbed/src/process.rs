//! Processes of the testbed. Whatever is started here is ended here, by its id: when its handle is dropped, and by the kernel
//! when the testbed itself is killed.

use crate::program::{ConfigSource, Program};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// Linux counts processor time in hundredths of a second for every program.
const TICKS_PER_SECOND: f64 = 100.0;
/// Where the fields of processor time are in `/proc/PID/stat`, counted from behind the name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A process.
pub struct Process {
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts a program with the configuration in that file. Its output is appended to `log`.
    ///
    /// # Errors
    /// The log cannot be opened, or the program cannot be started.
    pub fn start(program: &Program, config: &Path, log: &Path) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&program.executable);
        command.args(&program.arguments);
        match program.config_source {
            ConfigSource::Argument => command.arg("--config").arg(config),
            ConfigSource::Environment => command.env("ASPENDRUM_SETTINGS", config),
        };
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        let testbed = nix::unistd::getpid();
        let end_with_testbed = move || {
            nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?;
            // The testbed may have ended between the fork and here.
            if nix::unistd::getppid() != testbed {
                return Err(io::ErrorKind::NotFound.into());
            }
            Ok(())
        };
        // SAFETY: between fork and exec it makes two system calls and allocates nothing.
        unsafe { command.pre_exec(end_with_testbed) };
        let named =
            |e: io::Error| io::Error::new(e.kind(), format!("{:?}: {e}", program.executable));
        let child = command.spawn().map_err(named)?;
        let pid = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .map(Pid::from_raw);
        let pid = pid.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Process { child, pid })
    }

    /// Its process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// The system's error, if it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill(self.pid, signal)?)
    }

    /// How it ended by itself, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// The system's error.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// Kills it, and waits until it has ended.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Its resident memory now, in KiB, shared pages included.
    pub fn resident_memory_kb(&self) -> Option<u64> {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, key: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(key))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    /// The most resident memory that it has had, in KiB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        self.status_kb("VmHWM:")
    }

    /// The processor time that it has used, in seconds.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let behind_name: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |field: usize| behind_name.get(field)?.parse::<f64>().ok();
        Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
    }
}
