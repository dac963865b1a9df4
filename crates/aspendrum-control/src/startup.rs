//! Process startup: loads the settings and the durable state, starts the threads, and waits for the shutdown signal.

use crate::api::{LookupApi, OperatorApi};
use crate::clock::Clock;
use crate::connections;
use crate::directory::Directory;
use crate::errors::StartError;
use crate::event::Event;
use crate::memory::{MemoryBudgets, MAX_CONFIG_BYTES};
use crate::node::{ControlNode, ControlNodeOptions};
use crate::peers;
use crate::platform;
use crate::replica_driver::{new_incarnation, ReplicaDriver};
use crate::storage::{Disk, Storage};
use crate::store::Store;
use aspendrum_consensus::{Effect, NodeId, Replica, ReplicaOptions};
use aspendrum_model::settings::{Settings, SettingsError, SETTINGS_VARIABLE};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::daemon;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::http_client::HttpClient;
use aspendrum_net::http_server::{self, ServerOptions};
use aspendrum_net::mailbox::{self, MailboxReceiver, MailboxSender};
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// The stack size of the polling thread and of the threads that answer lookups.
const STACK_BYTES: usize = 128 << 10;
const NODE_STACK_BYTES: usize = 512 << 10;
/// The stack size of the operator API's threads. Compression of a configuration needs a few hundred KB of stack.
const OPERATOR_STACK_BYTES: usize = 1 << 20;
/// The capacity of the mailbox of the node's thread, in events.
const EVENT_CAPACITY: usize = 4096;
/// The maximum time for handing over the vote at shutdown, as a fraction of the shutdown's grace period.
const HANDOVER_SHARE: f64 = 0.5;
/// The size limits of operator calls. A configuration with thousands of routes is a few megabytes in size.
const OPERATOR_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: MAX_CONFIG_BYTES,
};
const LOOKUP_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 10,
};

/// Parses the command line and runs the program.
pub fn main() -> ExitCode {
    let about =
        "Control node: replicates operator commands, tracks servers and proxies, answers client lookups";
    let check = || Settings::load().map(|settings| settings.host_name);
    daemon::run("aspendrum-control", about, check, serve)
}

fn resource_error(resource: &'static str) -> impl Fn(io::Error) -> StartError {
    move |source| StartError::Resource { resource, source }
}

fn serve(signals: ProcessSignals) -> Result<(), StartError> {
    let settings = Settings::load().map_err(StartError::Settings)?;
    let clock = Clock::start();
    let directory = Arc::new(RwLock::new(Directory::new(0.0, &settings.zone_regions)));
    let memory = MemoryBudgets::new(&settings);
    let events = start_node(&settings, &memory, &directory, clock)?;
    open_apis(&settings, &memory, &directory, &events, clock)?;
    let reload = || -> Result<(), SettingsError> {
        let settings = Box::new(Settings::load()?);
        events.send(Event::SettingsReloaded(settings), None);
        Ok(())
    };
    let settings_file = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    let waited = signals.wait_for_shutdown(settings_file, reload);
    waited.map_err(StartError::Signals)?;
    // Acknowledged commands are already durable, so the only remaining task is to hand over this node's vote.
    let (ready, shutdown_ready) = bounded(1);
    events.send(Event::ShutdownRequested { ready }, None);
    let timeout = duration_from_millis(HANDOVER_SHARE * settings.shutdown_grace_s * 1000.0);
    let _ = shutdown_ready.recv_timeout(timeout);
    Ok(())
}

/// Reads the durable state, and starts the node's thread and the threads that it depends on. Returns the mailbox of the
/// node's thread.
fn start_node(
    settings: &Settings,
    memory: &MemoryBudgets,
    directory: &Arc<RwLock<Directory>>,
    clock: Clock,
) -> Result<Arc<MailboxSender<Event>>, StartError> {
    let disk = open_disk(settings)?;
    let state = match &disk {
        Some(disk) => disk.store.read().map_err(StartError::Store)?,
        None => None,
    };
    let is_disk_empty = state.is_none();
    let (replica, effects) = start_replica(settings, state.clone());
    log_start(settings, is_disk_empty, &replica);
    let (node_sender, events) = start_node_thread()?;
    let own_events = events.clone();
    let on_written = move |result| own_events.send(Event::WriteFinished(result), None);
    let storage = Storage::start(disk, state, on_written).map_err(resource_error("disk"))?;
    let local_node = NodeId::from(settings.ip);
    let (poll_requests, requested_polls) = bounded(1);
    let node = ControlNode::new(ControlNodeOptions {
        clock,
        settings: settings.clone(),
        replica: ReplicaDriver::new(local_node, clock, replica, storage, effects),
        events: events.clone(),
        poll_requests,
        directory: directory.clone(),
    });
    let address = SocketAddrV4::new(settings.ip, settings.control_port());
    let peer_timeout = Duration::from_millis(peers::PEER_TIMEOUT as u64);
    connections::listen(address, peer_timeout, &events, memory.peers.clone())
        .map_err(resource_error("control port"))?;
    node_sender
        .send(node)
        .map_err(|_| StartError::NodeThreadEnded)?;
    let own_events = events.clone();
    let max_bytes = memory.max_server_list_bytes;
    let poll = move || poll_platform(&requested_polls, &own_events, max_bytes);
    spawn("poller", STACK_BYTES, poll).map_err(resource_error("poller"))?;
    Ok(events)
}

fn open_disk(settings: &Settings) -> Result<Option<Disk>, StartError> {
    let Some(data_dir) = &settings.data_dir else {
        return Ok(None);
    };
    let data_dir = Path::new(data_dir).to_path_buf();
    let store = Store::open(&data_dir).map_err(StartError::Store)?;
    Ok(Some(Disk { data_dir, store }))
}

fn start_replica(
    settings: &Settings,
    state: Option<aspendrum_consensus::DurableState>,
) -> (Replica, Vec<Effect>) {
    let seeds = settings.seeds.iter();
    let seeds: Vec<NodeId> = seeds.map(|seed| NodeId::from(*seed.ip())).collect();
    let options = ReplicaOptions {
        node: NodeId::from(settings.ip),
        is_first_start: settings.is_first_start,
        seeds: &seeds,
        new_disk_id: fastrand::u64(1..),
        incarnation: new_incarnation(),
    };
    Replica::start(options, state)
}

fn log_start(settings: &Settings, is_disk_empty: bool, replica: &Replica) {
    log::info!(
        "event=started host={} init={} empty_disk={is_disk_empty} epoch={} votes={}",
        settings.host_name,
        settings.is_first_start,
        replica.epoch().number,
        replica.is_voter()
    );
}

/// Starts the node's thread before the node is created, because the threads that the node depends on need the sender of
/// its mailbox. The node is sent to the thread through the returned channel.
fn start_node_thread() -> Result<(Sender<ControlNode>, Arc<MailboxSender<Event>>), StartError> {
    let (node_sender, nodes) = bounded::<ControlNode>(1);
    let start = |events: MailboxReceiver<Event>| {
        spawn("server", NODE_STACK_BYTES, move || {
            if let Ok(node) = nodes.recv() {
                let guard = ExitOnPanic;
                node.run(&events);
                std::mem::forget(guard);
            }
        })
    };
    let events =
        mailbox::spawn_receiver(EVENT_CAPACITY, start).map_err(resource_error("server"))?;
    Ok((node_sender, Arc::new(events)))
}

/// Runs the polling thread: reads the platform's list of servers once per request. The HTTP client is reused until a
/// poll fails or the address changes.
fn poll_platform(
    requests: &Receiver<SocketAddrV4>,
    events: &MailboxSender<Event>,
    max_list_bytes: usize,
) {
    let mut platform: Option<HttpClient> = None;
    while let Ok(address) = requests.recv() {
        let started_at = Instant::now();
        let reusable = platform.take().filter(|client| client.server() == address);
        let connect = || HttpClient::new(address, platform::PAGE_LIMITS);
        let mut client = reusable.unwrap_or_else(connect);
        let result = platform::read_server_list(&mut client, max_list_bytes);
        platform = result.is_ok().then_some(client);
        events.send(Event::ServerListPolled { started_at, result }, None);
    }
}

/// Starts the HTTP servers of the operator API and the lookup API, if their addresses are configured.
fn open_apis(
    settings: &Settings,
    memory: &MemoryBudgets,
    directory: &Arc<RwLock<Directory>>,
    events: &Arc<MailboxSender<Event>>,
    clock: Clock,
) -> Result<(), StartError> {
    let options = |stack_bytes, limits, memory: &MemoryBudget| ServerOptions {
        stack_bytes,
        limits,
        idle_timeout: Duration::from_secs(10),
        worker_idle_timeout: Duration::from_secs(3),
        memory: memory.clone(),
    };
    if let Some(address) = settings.operator_addr {
        let zones = settings.zone_regions.clone();
        let api = OperatorApi::new(events.clone(), zones, memory.operators.clone());
        let handle = move |request| api.handle(&request);
        let options = options(OPERATOR_STACK_BYTES, OPERATOR_LIMITS, &memory.operators);
        http_server::listen(address, options, handle).map_err(resource_error("ctl"))?;
    }
    if let Some(address) = settings.directory_addr {
        // The maximum time to live that the requirements allow: a lookup delays a request, whereas clients skip
        // addresses that fail.
        let api = LookupApi::new(directory.clone(), settings.max_ttl_s);
        let handle = move |request| api.handle(clock.now(), &request);
        let options = options(STACK_BYTES, LOOKUP_LIMITS, &memory.lookups);
        http_server::listen(address, options, handle).map_err(resource_error("dir"))?;
    }
    Ok(())
}

/// Exits the process if the node's thread panics. The remaining threads could only refuse calls, so the process should
/// be restarted.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        log::error!("event=node_failed");
        std::process::exit(1);
    }
}
