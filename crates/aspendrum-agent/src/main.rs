//! The agent beside a proxy: holds the link to control, keeps what is decided, and feeds the proxy over
//! loopback ahead of time.

mod control;
mod desk;
mod lend;
mod notes;
mod proxy;

use aspendrum_model::settings::{Settings, SETTINGS_VARIABLE};
use aspendrum_net::daemon;
use aspendrum_net::mailbox;
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::spawn;
use crossbeam_channel::bounded;
use desk::Desk;
use notes::Note;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

const NOTES: usize = 1024;
/// Of the grace, how long it waits for its proxy's end.
const LEAVE_SHARE: f64 = 0.95;

fn main() -> ExitCode {
    let about = "The agent beside a proxy: keeps the link to control and feeds the proxy";
    daemon::run(
        "aspendrum-agent",
        about,
        || Settings::load().map(|s| s.host_name),
        serve,
    )
}

fn serve(told: ProcessSignals) -> Result<(), String> {
    let settings = Settings::load().map_err(|e| e.to_string())?;
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
    let notes = Arc::new(mailbox::spawn_receiver(NOTES, start).map_err(failed("desk"))?);
    let route = control::Route::new(&settings);
    control::hold(&route, &settings, &notes).map_err(failed("control"))?;
    proxy::listen(settings.agent_addr(), &notes).map_err(failed("agent port"))?;
    let lender = lend::Lender::open(&settings, &notes).map_err(failed("lending ports"))?;
    let desk = Desk::new(settings.clone(), route, lender);
    give.send(desk).map_err(|e| e.to_string())?;
    log::info!("event=started host={}", settings.host_name);

    let reload = || -> Result<(), String> {
        let settings = Box::new(Settings::load().map_err(|e| e.to_string())?);
        notes.send(Note::Settings(settings), None);
        Ok(())
    };
    told.wait_for_shutdown(std::env::var(SETTINGS_VARIABLE).unwrap_or_default(), reload)
        .map_err(|e| e.to_string())?;
    // A proxy that ends finishes what it has in hand, and needs to hear of servers and orders meanwhile.
    let (done, left) = bounded(1);
    notes.send(Note::Leave { done }, None);
    let _ = left.recv_timeout(Duration::from_secs_f64(
        LEAVE_SHARE * settings.shutdown_grace_s,
    ));
    Ok(())
}
