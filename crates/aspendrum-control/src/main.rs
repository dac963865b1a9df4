//! Control of the system, one process on each core machine.

mod calls;
mod desk;
mod finding;
mod links;
mod nodes;
mod notes;
mod poll;
mod store;
mod words;

use aspendrum_consensus::founding::{voters_for, Founding};
use aspendrum_consensus::Register;
use aspendrum_model::settings::{Settings, VARIABLE};
use aspendrum_net::caller::Caller;
use aspendrum_net::daemon;
use aspendrum_net::hands::spawn;
use aspendrum_net::mail;
use aspendrum_net::message::Bounds;
use aspendrum_net::reception::{self, Terms};
use crossbeam_channel::bounded;
use desk::Desk;
use finding::Directory;
use notes::Note;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
/// Packing a configuration takes a few hundred KB of stack while it begins.
const ORDERS_STACK: usize = 1 << 20;
const NOTES: usize = 4096;
/// A configuration of thousands of routes takes a few megabytes.
const ORDERS: Bounds = Bounds { head: 16 << 10, body: 16 << 20 };
const LOOK_UPS: Bounds = Bounds { head: 16 << 10, body: 1 << 10 };

fn main() -> ExitCode {
    let about = "Control of the system: takes orders, keeps them on disk, knows servers and proxies, answers look-ups";
    daemon::run("aspendrum-control", about, || Settings::load().map(|s| s.host), serve)
}

fn serve() -> Result<(), String> {
    let settings = Settings::load()?;
    let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let store = settings.datadir.as_ref().map(|d| store::Store::open(Path::new(d))).transpose()?;
    let kept = store.as_ref().map_or(Ok(None), store::Store::read)?;
    let seeds: Vec<u32> = settings.seeds.iter().map(|s| u32::from(*s.ip())).collect();
    // Where the seeds are as many as must vote, they do, and all know it. Otherwise they settle who does besides.
    let enough = seeds.len() >= voters_for(settings.losses as usize);
    let founders: Vec<u32> = if settings.init && enough { seeds.clone() } else { Vec::new() };
    let me = u32::from(settings.ip);
    let fresh = kept.is_none();
    // Rounds of this life begin above those of earlier ones.
    let begin = u64::from(fastrand::u32(..)) << 24;
    let part = kept.as_ref().map(|k| k.founding.clone());
    let (register, first) = Register::start(me, kept, settings.init, &founders, fastrand::u64(1..), begin);
    // Also whoever was killed before that was through goes on with it; who votes for ever is told by the others.
    let unsettled = register.kept().first && register.kept().held.voters.is_empty();
    let founding = unsettled.then(|| Founding::new(me, &seeds, settings.losses as usize, part));
    log::info!(
        "event=started host={} init={} empty_disk={fresh} votes={}",
        settings.host,
        settings.init,
        register.votes()
    );

    let directory = Arc::new(RwLock::new(Directory::default()));
    let (poll, polls) = bounded::<SocketAddrV4>(1);
    let (give, take) = bounded::<Desk>(1);
    let start = |inbox| {
        spawn("desk", 512 << 10, move || {
            if let Ok(desk) = take.recv() {
                let guard = Guard;
                let desk: Desk = desk;
                desk.run(&inbox, first);
                std::mem::forget(guard);
            }
        })
    };
    let notes = Arc::new(mail::with(NOTES, start).map_err(failed("desk"))?);
    let desk = Desk::new(settings.clone(), store, register, founding, notes.clone(), poll, directory.clone());
    let port = SocketAddrV4::new(settings.ip, settings.control_port());
    links::listen(port, Duration::from_millis(1600), &notes).map_err(failed("control port"))?;
    give.send(desk).map_err(|e| e.to_string())?;

    let own = notes.clone();
    let poller = move || {
        let mut platform = None;
        while let Ok(addr) = polls.recv() {
            let asked = Instant::now();
            let known = platform.take().filter(|p: &Caller| p.to() == addr);
            let mut caller = known.unwrap_or_else(|| Caller::new(addr, poll::BOUNDS));
            let list = poll::list(&mut caller);
            platform = list.is_ok().then_some(caller);
            own.send(Note::Polled { asked, list }, None);
        }
    };
    spawn("poller", STACK, poller).map_err(failed("poller"))?;

    let terms =
        |stack, bounds| Terms { stack, bounds, idle: Duration::from_secs(10), hands: Duration::from_secs(3) };
    if let Some(ctl) = settings.ctl {
        let orders = calls::Orders { notes: notes.clone(), zones: settings.zones.clone() };
        let tree = calls::orders();
        let serve = move |request| orders.answer(&tree, &request);
        reception::open(ctl, terms(ORDERS_STACK, ORDERS), serve).map_err(failed("ctl"))?;
    }
    if let Some(dir) = settings.dir {
        // As long as the terms let it count: a query waits for each look-up, and clients pass over addresses
        // that fail them.
        let (tree, ttl) = (calls::look_ups(), settings.ttl_max_s);
        let serve = move |request| calls::look_up(&directory, &tree, &request, ttl);
        reception::open(dir, terms(STACK, LOOK_UPS), serve).map_err(failed("dir"))?;
    }

    let reload = || {
        let settings = Box::new(Settings::load()?);
        notes.send(Note::Settings(settings), None);
        Ok(())
    };
    // All that was acknowledged is on disks: nothing needs to be ended first.
    daemon::until_told(std::env::var(VARIABLE).unwrap_or_default(), reload)
}

/// Without its desk a process of control only refuses: better to end and be started again.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        log::error!("event=desk_failed");
        std::process::exit(1);
    }
}
