//! What every program of the system does alike: its log, its signals, its settings file.

use crate::hands::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use simplelog::{ColorChoice, ConfigBuilder, LevelFilter, TermLogger, TerminalMode};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, SystemTime};

/// What the platform or an operator wants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wanted {
    End,
    Reload,
}

/// One line of key=value pairs for each event, to standard error.
pub fn log(level: LevelFilter) -> Result<(), String> {
    let mut config = ConfigBuilder::new();
    config.set_time_level(LevelFilter::Off).set_thread_level(LevelFilter::Off);
    config.set_target_level(LevelFilter::Off).set_location_level(LevelFilter::Off);
    TermLogger::init(level, config.build(), TerminalMode::Stderr, ColorChoice::Never)
        .map_err(|e| e.to_string())
}

/// The signals, asked for before anything else so that none comes too early, and a file that may be replaced
/// without any: `told` hears of each.
pub fn watch(
    file: String,
    every: Duration,
    told: impl Fn(Wanted) + Send + Sync + Clone + 'static,
) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let own = told.clone();
    spawn("signals", 64 << 10, move || {
        for signal in signals.forever() {
            own(if signal == SIGHUP { Wanted::Reload } else { Wanted::End });
        }
    })?;
    spawn("settings", 64 << 10, move || {
        let mut last = changed(&file);
        loop {
            sleep(every);
            let now = changed(&file);
            if now != last {
                last = now;
                told(Wanted::Reload);
            }
        }
    })?;
    Ok(())
}

fn changed(file: &str) -> Option<SystemTime> {
    Path::new(file).metadata().and_then(|m| m.modified()).ok()
}
