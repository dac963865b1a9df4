//! The agent beside a proxy: holds the link to control, keeps what is decided, and feeds the proxy over
//! loopback ahead of time.

mod control;
mod desk;
mod notes;
mod proxy;

use aspendrum_catalog::settings::{Settings, VARIABLE};
use aspendrum_folio::daemon::{self, Wanted};
use aspendrum_folio::hands::spawn;
use aspendrum_folio::mail;
use bpaf::Bpaf;
use crossbeam_channel::bounded;
use desk::Desk;
use notes::Note;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// The agent beside a proxy: keeps the link to control and feeds the proxy
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Line {
    /// Runs in the foreground until SIGTERM; SIGHUP reads the settings again
    #[bpaf(command)]
    Serve,
    /// Reads and checks the settings, and says what is wrong with them
    #[bpaf(command("check-settings"))]
    CheckSettings,
}

const NOTES: usize = 1024;
const SETTINGS_EVERY: Duration = Duration::from_millis(1000);

fn main() -> ExitCode {
    let done = daemon::log(log::LevelFilter::Info).and_then(|()| match line().run() {
        Line::Serve => serve(),
        Line::CheckSettings => Settings::load().map(|s| println!("{}: well-formed", s.host)),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("page: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let settings = Settings::load()?;
    let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let (give, take) = bounded::<Desk>(1);
    let start = |inbox| {
        spawn("desk", 256 << 10, move || {
            if let Ok(desk) = take.recv() {
                let desk: Desk = desk;
                desk.run(&inbox);
            }
        })
    };
    let notes = Arc::new(mail::with(NOTES, start).map_err(failed("desk"))?);
    let route = control::Route::new(&settings);
    control::hold(&route, settings.control_port(), &notes).map_err(failed("control"))?;
    proxy::listen(settings.agent_port(), &notes).map_err(failed("agent port"))?;
    let desk = Desk::new(settings.clone(), route);
    give.send(desk).map_err(|e| e.to_string())?;
    log::info!("event=started host={}", settings.host);

    let (tell, wanted) = bounded(8);
    let file = std::env::var(VARIABLE).unwrap_or_default();
    let told = move |w| {
        let _ = tell.try_send(w);
    };
    daemon::watch(file, SETTINGS_EVERY, told).map_err(failed("signals"))?;
    while let Ok(wanted) = wanted.recv() {
        match wanted {
            // The proxy goes on with what it knows; control and proxy find the next agent.
            Wanted::End => break,
            Wanted::Reload => match Settings::load() {
                Ok(settings) => {
                    let _ = notes.send(Note::Settings(Box::new(settings)), None);
                }
                Err(why) => log::error!("event=settings_not_read why=\"{why}\""),
            },
        }
    }
    log::info!("event=ended");
    Ok(())
}
