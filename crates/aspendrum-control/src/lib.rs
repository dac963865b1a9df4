//! Control of the system, one process on each core machine: takes orders and keeps them, knows servers and proxies, feeds
//! agents, answers look-ups.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod agents;
pub mod api;
pub mod directory;
pub mod event;
pub mod legacy;
pub mod links;
pub mod peer_message;
pub mod peers;
pub mod platform;
pub mod report;
pub mod server;
pub mod servers;
pub mod storage;
pub mod store;

use aspendrum_consensus::Replica;
use aspendrum_model::settings::{Settings, SETTINGS_VARIABLE};
use aspendrum_net::daemon;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use aspendrum_net::http_server::{self, ServerOptions};
use aspendrum_net::mailbox::{self, MailboxSender};
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver};
use directory::Directory;
use event::Event;
use server::{new_life, Server, Start};
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use storage::Storage;
use store::Store;

const STACK: usize = 128 << 10;
/// Packing a configuration takes a few hundred KB of stack while it begins.
const ORDERS_STACK: usize = 1 << 20;
const EVENTS: usize = 4096;
/// A machine that was told to end hands its vote over within this share of the time that it has.
const HAND_OVER_SHARE: f64 = 0.5;
/// Signs of life are missed for so long before a connection counts as gone.
const PEER_SILENT: Duration = Duration::from_millis(1600);
/// A configuration of thousands of routes takes a few megabytes.
const ORDERS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 16 << 20,
};
const LOOK_UPS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 10,
};

/// Does what the command line says.
pub fn main() -> ExitCode {
    let about = "Control of the system: takes orders, keeps them on disk, knows servers and proxies, answers look-ups";
    daemon::run(
        "aspendrum-control",
        about,
        || Settings::load().map(|s| s.host_name),
        serve,
    )
}

fn failed(what: &'static str) -> impl Fn(std::io::Error) -> String {
    move |e| format!("{what}: {e}")
}

fn serve(told: ProcessSignals) -> Result<(), String> {
    let settings = Settings::load().map_err(|e| e.to_string())?;
    let begun = Instant::now();
    let directory = Arc::new(RwLock::new(Directory::new(0.0, &settings.zone_regions)));
    let events = start_server(&settings, &directory, begun)?;
    open_calls(&settings, &directory, &events, begun)?;
    let reload = || -> Result<(), String> {
        let settings = Box::new(Settings::load().map_err(|e| e.to_string())?);
        events.send(Event::Settings(settings), None);
        Ok(())
    };
    told.wait_for_shutdown(std::env::var(SETTINGS_VARIABLE).unwrap_or_default(), reload)
        .map_err(|e| e.to_string())?;
    // All that was acknowledged is on disks; what is left is a vote that another machine may take.
    let (done, left) = bounded(1);
    events.send(Event::Leave { done }, None);
    let _ = left.recv_timeout(Duration::from_secs_f64(
        HAND_OVER_SHARE * settings.shutdown_grace_s,
    ));
    Ok(())
}

/// Reads the disk, and starts the threads that own and carry out what control does.
fn start_server(
    settings: &Settings,
    directory: &Arc<RwLock<Directory>>,
    begun: Instant,
) -> Result<Arc<MailboxSender<Event>>, String> {
    let folder = settings
        .data_dir
        .as_ref()
        .map(|d| Path::new(d).to_path_buf());
    let store = folder.as_ref().map(|f| Store::open(f)).transpose()?;
    let held = store.as_ref().map_or(Ok(None), Store::read)?;
    let seeds: Vec<u32> = settings.seeds.iter().map(|s| u32::from(*s.ip())).collect();
    let (me, disk) = (u32::from(settings.ip), fastrand::u64(1..));
    let (replica, first) = Replica::start(
        me,
        held.clone(),
        settings.is_first_start,
        &seeds,
        disk,
        new_life(),
    );
    log::info!(
        "event=started host={} init={} empty_disk={} epoch={} votes={}",
        settings.host_name,
        settings.is_first_start,
        held.is_none(),
        replica.epoch().number,
        replica.votes()
    );
    let (poll, polls) = bounded::<SocketAddrV4>(1);
    let (give, take) = bounded::<Server>(1);
    let start = |inbox| {
        spawn("server", 512 << 10, move || {
            if let Ok(server) = take.recv() {
                let guard = Guard;
                let server: Server = server;
                server.run(&inbox, first);
                std::mem::forget(guard);
            }
        })
    };
    let events = Arc::new(mailbox::spawn_receiver(EVENTS, start).map_err(failed("server"))?);
    let storage = Storage::start(folder, store, held, &events).map_err(failed("disk"))?;
    let server = Server::new(Start {
        begun,
        settings: settings.clone(),
        replica,
        storage,
        events: events.clone(),
        poll,
        directory: directory.clone(),
    });
    let port = SocketAddrV4::new(settings.ip, settings.control_port());
    links::listen(port, PEER_SILENT, &events).map_err(failed("control port"))?;
    give.send(server).map_err(|e| e.to_string())?;
    let own = events.clone();
    spawn("poller", STACK, move || poll_platform(&polls, &own)).map_err(failed("poller"))?;
    Ok(events)
}

/// Reads the platform's list whenever it is asked to.
fn poll_platform(polls: &Receiver<SocketAddrV4>, events: &MailboxSender<Event>) {
    let mut platform = None;
    while let Ok(addr) = polls.recv() {
        let asked = Instant::now();
        let known = platform.take().filter(|p: &HttpClient| p.server() == addr);
        let mut caller = known.unwrap_or_else(|| HttpClient::new(addr, platform::BOUNDS));
        let list = platform::list(&mut caller);
        platform = list.is_ok().then_some(caller);
        events.send(Event::Polled { asked, list }, None);
    }
}

/// The calls of the operator, and clients' look-ups.
fn open_calls(
    settings: &Settings,
    directory: &Arc<RwLock<Directory>>,
    events: &Arc<MailboxSender<Event>>,
    begun: Instant,
) -> Result<(), String> {
    let terms = |stack, bounds| ServerOptions {
        stack_bytes: stack,
        limits: bounds,
        idle_timeout: Duration::from_secs(10),
        worker_idle_timeout: Duration::from_secs(3),
    };
    if let Some(ctl) = settings.operator_addr {
        let orders = api::Orders {
            events: events.clone(),
            zones: settings.zone_regions.clone(),
        };
        let tree = api::orders();
        let serve = move |request| orders.answer(&tree, &request);
        http_server::listen(ctl, terms(ORDERS_STACK, ORDERS), serve).map_err(failed("ctl"))?;
    }
    if let Some(dir) = settings.directory_addr {
        // As long as the terms let it count: a query waits for each look-up, and clients pass over addresses
        // that fail them.
        let (tree, ttl, directory) = (api::look_ups(), settings.max_ttl_s, directory.clone());
        let now = move || begun.elapsed().as_secs_f64() * 1000.0;
        let serve = move |request| api::look_up(&directory, &tree, &request, now(), ttl);
        http_server::listen(dir, terms(STACK, LOOK_UPS), serve).map_err(failed("dir"))?;
    }
    Ok(())
}

/// Without its server's thread a process of control only refuses: better to end and be started again.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        log::error!("event=server_failed");
        std::process::exit(1);
    }
}
