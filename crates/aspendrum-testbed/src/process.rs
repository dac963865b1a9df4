//! Child processes of the testbed. A child is killed when its handle is dropped, and by the kernel (`PR_SET_PDEATHSIG`) when
//! the testbed itself is killed.

use crate::program::{ConfigSource, Program};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// The unit of CPU times in `/proc` (`USER_HZ`), which is 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// The indices of the CPU time fields in `/proc/PID/stat`, counted from the field after the command name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A child process.
pub struct Process {
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts a program with a configuration file. Its output is appended to `log`.
    ///
    /// # Errors
    /// The I/O error if the log cannot be opened or the program cannot be started.
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
        let set_death_signal = move || {
            nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?;
            // The testbed may have exited between the fork and the call above.
            if nix::unistd::getppid() != testbed {
                return Err(io::ErrorKind::NotFound.into());
            }
            Ok(())
        };
        // SAFETY: the closure only makes two async-signal-safe system calls and doesn't allocate.
        unsafe { command.pre_exec(set_death_signal) };
        let with_executable =
            |e: io::Error| io::Error::new(e.kind(), format!("{:?}: {e}", program.executable));
        let child = command.spawn().map_err(with_executable)?;
        let pid = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .map(Pid::from_raw);
        let pid = pid.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Process { child, pid })
    }

    /// Returns the process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The OS error, for example if the process has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill(self.pid, signal)?)
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// The OS error if the process cannot be waited for.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// Kills the process, and waits until it has exited.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Returns the current resident memory in KiB, including shared pages.
    pub fn resident_memory_kb(&self) -> Option<u64> {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, key: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(key))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    /// Returns the peak resident memory in KiB.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        self.status_kb("VmHWM:")
    }

    /// Returns the consumed CPU time (user and system) in seconds.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
        Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
    }
}
