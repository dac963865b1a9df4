//! What every program of the system does alike: its log, its signals, its settings file.

use crate::workers::spawn;
use bpaf::Bpaf;
use crossbeam_channel::bounded;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, SystemTime};

/// The command line of each program of the system.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs in the foreground until SIGTERM; SIGHUP reads the settings again
    #[bpaf(command)]
    Serve,
    /// Reads and checks the settings, and says what is wrong with them
    #[bpaf(command("check-settings"))]
    CheckSettings,
}

/// What the platform or an operator wants.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    End,
    Reload,
}

/// Does what the command line says. `check` names the host whose settings are well-formed.
pub fn run(
    program: &str,
    about: &'static str,
    check: fn() -> Result<String, String>,
    serve: fn(ProcessSignals) -> Result<(), String>,
) -> ExitCode {
    // Before anything else: a signal that nobody has asked for ends the program with all that it holds.
    let told = ProcessSignals::expect();
    let line = command().descr(about).run();
    let done = log(LevelFilter::Info).and_then(|()| match line {
        Command::Serve => serve(told.map_err(|e| format!("signals: {e}"))?),
        Command::CheckSettings => check().map(|host| println!("{host}: well-formed")),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{program}: {why}");
            ExitCode::FAILURE
        }
    }
}

/// The signals, expected from the process' start on.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    fn expect() -> std::io::Result<ProcessSignals> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(ProcessSignals)
    }

    /// Returns when the process is to end. `reload` is called when the settings in that file may have changed: an error
    /// leaves everything as it was.
    pub fn wait_for_shutdown(
        self,
        file: String,
        mut reload: impl FnMut() -> Result<(), String>,
    ) -> Result<(), String> {
        let (tell, wanted) = bounded(8);
        // Waits for room: the word to end must not be lost behind a series of others.
        let told = move |w| {
            let _ = tell.send(w);
        };
        watch(self.0, file, SETTINGS_EVERY, told).map_err(|e| format!("signals: {e}"))?;
        while let Ok(Request::Reload) = wanted.recv() {
            if let Err(why) = reload() {
                log::error!("event=settings_not_read why=\"{why}\"");
            }
        }
        log::info!("event=told_to_end");
        Ok(())
    }
}

/// Between two looks at a file that may be replaced without any signal.
const SETTINGS_EVERY: Duration = Duration::from_millis(1000);

/// One line of key=value pairs for each event, to standard error.
fn log(level: LevelFilter) -> Result<(), String> {
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off);
    config
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off);
    TermLogger::init(
        level,
        config.build(),
        TerminalMode::Stderr,
        ColorChoice::Never,
    )
    .map_err(|e| e.to_string())
}

/// The signals, and a file that may be replaced without any: `told` hears of each.
fn watch(
    mut signals: Signals,
    file: String,
    every: Duration,
    told: impl Fn(Request) + Send + Sync + Clone + 'static,
) -> std::io::Result<()> {
    let own = told.clone();
    spawn("signals", 64 << 10, move || {
        for signal in signals.forever() {
            own(if signal == SIGHUP {
                Request::Reload
            } else {
                Request::End
            });
        }
    })?;
    spawn("settings", 64 << 10, move || {
        let mut last = changed(&file);
        loop {
            sleep(every);
            let now = changed(&file);
            if now != last {
                last = now;
                told(Request::Reload);
            }
        }
    })?;
    Ok(())
}

fn changed(file: &str) -> Option<SystemTime> {
    Path::new(file).metadata().and_then(|m| m.modified()).ok()
}
