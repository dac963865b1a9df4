//! The signals of a process, and a settings file that may be replaced without any signal.

use crate::threads::spawn;
use crossbeam_channel::bounded;
use derive_more::{Display, Error};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, SystemTime};

/// The signals, or the threads that wait for them, could not be set up.
#[derive(Debug, Display, Error)]
#[display("signals: {_0}")]
pub struct SignalError(io::Error);

/// A request of the platform or of an operator to the process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessRequest {
    ShutDown,
    ReloadSettings,
}

/// The time between two checks whether the settings file was replaced.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
const STACK_BYTES: usize = 64 << 10;
/// The number of requests that may wait while the settings are being read.
const MAX_PENDING_REQUESTS: usize = 8;

/// The signals that a process handles, from its start on.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on: by default each would end the process at once.
    pub(crate) fn register() -> Result<ProcessSignals, SignalError> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(ProcessSignals)
            .map_err(SignalError)
    }

    /// Returns when the process is to shut down. Calls `reload` when the settings in that file may have changed; if it
    /// fails, the process keeps its present settings.
    ///
    /// # Errors
    /// [`SignalError`] if the threads that wait for signals and for changes of the file could not be spawned.
    pub fn wait_for_shutdown<E: std::fmt::Display>(
        self,
        settings_file: String,
        mut reload: impl FnMut() -> Result<(), E>,
    ) -> Result<(), SignalError> {
        let (sender, requests) = bounded(MAX_PENDING_REQUESTS);
        // Waits for capacity: a request to shut down must not be lost behind others.
        let notify = move |request| {
            let _ = sender.send(request);
        };
        watch_signals(self.0, notify.clone()).map_err(SignalError)?;
        watch_file(settings_file, notify).map_err(SignalError)?;
        while let Ok(ProcessRequest::ReloadSettings) = requests.recv() {
            if let Err(why) = reload() {
                log::error!("event=settings_not_read why=\"{why}\"");
            }
        }
        log::info!("event=shutdown_requested");
        Ok(())
    }
}

fn watch_signals(
    mut signals: Signals,
    notify: impl Fn(ProcessRequest) + Send + 'static,
) -> io::Result<()> {
    spawn("signals", STACK_BYTES, move || {
        for signal in signals.forever() {
            let is_reload = signal == SIGHUP;
            notify(if is_reload {
                ProcessRequest::ReloadSettings
            } else {
                ProcessRequest::ShutDown
            });
        }
    })?;
    Ok(())
}

fn watch_file(file: String, notify: impl Fn(ProcessRequest) + Send + 'static) -> io::Result<()> {
    spawn("settings", STACK_BYTES, move || {
        let mut last = modified_at(&file);
        loop {
            sleep(SETTINGS_CHECK_INTERVAL);
            let now = modified_at(&file);
            if now != last {
                last = now;
                notify(ProcessRequest::ReloadSettings);
            }
        }
    })?;
    Ok(())
}

fn modified_at(file: &str) -> Option<SystemTime> {
    Path::new(file)
        .metadata()
        .and_then(|metadata| metadata.modified())
        .ok()
}
