//! Handling of process signals, and detection of changes to the settings file.

use crate::threads::spawn;
use crossbeam_channel::bounded;
use derive_more::{Display, Error};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, SystemTime};

/// The signal handlers or the watching threads could not be set up.
#[derive(Debug, Display, Error)]
#[display("signals: {_0}")]
pub struct SignalError(io::Error);

/// A request to the process by the platform or an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessRequest {
    ShutDown,
    ReloadSettings,
}

/// The interval between checks of the modification time of the settings file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
const STACK_BYTES: usize = 64 << 10;
/// The maximum number of requests queued while the settings are being reloaded.
const MAX_PENDING_REQUESTS: usize = 8;

/// The signals that the process handles, registered at startup.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Registers handlers for SIGTERM, SIGINT and SIGHUP, which by default terminate the process immediately.
    pub(crate) fn register() -> Result<ProcessSignals, SignalError> {
        Signals::new([SIGTERM, SIGINT, SIGHUP])
            .map(ProcessSignals)
            .map_err(SignalError)
    }

    /// Waits until the process is asked to shut down. Calls `reload` on SIGHUP and when the settings file has been
    /// modified. If `reload` fails, the error is logged and the process keeps its current settings.
    ///
    /// # Errors
    /// Returns [`SignalError`] if the threads that watch signals and the file could not be spawned.
    pub fn wait_for_shutdown<E: std::fmt::Display>(
        self,
        settings_file: String,
        mut reload: impl FnMut() -> Result<(), E>,
    ) -> Result<(), SignalError> {
        let (sender, requests) = bounded(MAX_PENDING_REQUESTS);
        // Blocks while the channel is full, so that a shutdown request is not lost.
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
