//! Limiters as processes. Whatever is started here is ended here, by its id: when its handle goes, and by the
//! kernel when the rig itself is killed.

use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// How a process is told where its configuration is.
#[derive(Clone, Copy, Debug)]
pub enum Told {
    /// Behind its arguments.
    Argument,
    /// By the variable that the programs of the system read.
    Variable,
}

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Start {
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub told: Told,
}

impl Start {
    /// What the scenario puts in the limiters' place: the limiter itself, or this program's own baseline.
    pub fn of(s: &Scenario, limiter: Option<PathBuf>) -> Result<Start, String> {
        if s.limiters.pass_through {
            let program =
                std::env::current_exe().map_err(|e| format!("this program's own place: {e}"))?;
            return Ok(Start::pass_through(program));
        }
        Start::limiter(limiter)
    }

    /// The baseline, by the rig's program.
    pub fn pass_through(program: PathBuf) -> Start {
        Start {
            program,
            arguments: vec!["pass-through".into()],
            told: Told::Argument,
        }
    }

    /// `aspendrum serve` from that file, or from the one beside this program. Where none is there it is
    /// built, so that a fresh clone needs one command.
    pub fn limiter(program: Option<PathBuf>) -> Result<Start, String> {
        let arguments = ["--log", "json", "serve"].map(String::from).to_vec();
        if let Some(program) = program {
            return Ok(Start {
                program,
                arguments,
                told: Told::Argument,
            });
        }
        let program = beside("aspendrum")?;
        if !program.exists() {
            build(&["aspendrum"]).map_err(|e| format!("{e}; name a limiter with --limiter"))?;
        }
        Ok(Start {
            program,
            arguments,
            told: Told::Argument,
        })
    }

    /// A program of the system, as this checkout has it (see [`build`]).
    pub fn system(name: &str) -> Result<Start, String> {
        Ok(Start {
            program: beside(name)?,
            arguments: vec!["serve".into()],
            told: Told::Variable,
        })
    }
}

/// Where a program of this checkout stands that was built in this program's own profile.
fn beside(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's own place: {e}"))?;
    // Tests stand a folder deeper.
    let folder = own
        .ancestors()
        .skip(1)
        .find(|f| !f.ends_with("deps"))
        .unwrap_or(Path::new("."));
    Ok(folder.join(name))
}

/// Builds those programs in this program's own profile; the packages are named as they are.
pub fn build(packages: &[&str]) -> Result<(), String> {
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    command.args(packages.iter().flat_map(|p| ["--package", p]));
    if beside("cargo")?
        .parent()
        .is_some_and(|folder| folder.ends_with("release"))
    {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("{packages:?} could not be built: {status}")),
        Err(e) => Err(format!("cargo could not be started: {e}")),
    }
}

pub struct Process {
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts it with the configuration in that file; its log is added to `log`.
    pub fn start(how: &Start, config: &Path, log: &Path) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&how.program);
        command.args(&how.arguments);
        match how.told {
            Told::Argument => command.arg("--config").arg(config),
            Told::Variable => command.env("ASPENDRUM_SETTINGS", config),
        };
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        let rig = nix::unistd::getpid();
        let end_with_rig = move || {
            nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?;
            // The rig may have died between the fork and here.
            if nix::unistd::getppid() != rig {
                return Err(io::ErrorKind::NotFound.into());
            }
            Ok(())
        };
        // SAFETY: between fork and exec it makes two system calls and allocates nothing.
        unsafe { command.pre_exec(end_with_rig) };
        let child = command
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{:?}: {e}", how.program)))?;
        let pid = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .map(Pid::from_raw);
        let pid = pid.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Process { child, pid })
    }

    /// As the kernel names it.
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill(self.pid, signal)?)
    }

    /// Whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Until it has ended.
    pub async fn end(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }

    /// SIGKILL, and its end waited for.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Its resident memory now, shared pages included, KiB, as the kernel tells it.
    pub fn memory_kb(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    /// Processor time used so far, seconds.
    pub fn cpu_s(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let after: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |n: usize| after.get(n)?.parse::<f64>().ok();
        // Linux tells hundredths of a second to every program.
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }
}
