//! Startup and graceful shutdown of the agent process.

use crate::control_endpoints::ControlEndpoints;
use crate::coordinator::Coordinator;
use crate::error::AgentError;
use crate::event::Event;
use crate::gossip_socket::GossipSocket;
use crate::memory::MemoryBudgets;
use crate::snapshot::{self, SnapshotClient};
use crate::{control_connection, proxy_listener};
use aspendrum_model::settings::{Settings, SettingsError, SETTINGS_VARIABLE};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::mailbox::{self, MailboxSender};
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Sender};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of events queued for the coordinator.
const EVENT_QUEUE_CAPACITY: usize = 1024;
const COORDINATOR_STACK_BYTES: usize = 256 << 10;
/// The fraction of the shutdown grace period that the agent waits for its proxy to terminate.
const PROXY_WAIT_FRACTION: f64 = 0.95;

/// Runs an agent until it receives a termination signal.
///
/// # Errors
///
/// Returns an error if the settings cannot be read, an address cannot be bound, or a thread cannot be spawned.
pub fn serve(signals: ProcessSignals) -> Result<(), AgentError> {
    let settings = Settings::load().map_err(AgentError::Settings)?;
    let (events, coordinator) = start_coordinator()?;
    let endpoints = ControlEndpoints::new(&settings);
    let memory = MemoryBudgets::new(&settings);
    control_connection::start(&endpoints, &settings, &events, memory.updates.clone())
        .map_err(AgentError::start("control connection"))?;
    proxy_listener::start(settings.agent_addr(), &events, memory.local.clone())
        .map_err(AgentError::start("proxy listener"))?;
    let gossip =
        GossipSocket::open(&settings, &events).map_err(AgentError::start("gossip socket"))?;
    snapshot::start_server(&settings, &events).map_err(AgentError::start("snapshot server"))?;
    let snapshots = SnapshotClient::new(&settings, &events, memory.updates.clone());
    let started = coordinator.send(Coordinator::new(
        settings.clone(),
        endpoints,
        gossip,
        snapshots,
    ));
    started.map_err(|_| AgentError::CoordinatorEnded)?;
    log::info!("event=started host={}", settings.host_name);
    let reload = || -> Result<(), SettingsError> {
        let settings = Box::new(Settings::load()?);
        events.send(Event::SettingsChanged(settings), None);
        Ok(())
    };
    let settings_file = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    signals
        .wait_for_shutdown(settings_file, reload)
        .map_err(AgentError::Signals)?;
    wait_for_proxy(
        &events,
        duration_from_millis(PROXY_WAIT_FRACTION * settings.shutdown_grace_s * 1000.0),
    );
    Ok(())
}

/// Spawns the coordinator thread. The coordinator is sent to it afterwards, because building the coordinator's
/// components requires the sender of its events.
fn start_coordinator() -> Result<(Arc<MailboxSender<Event>>, Sender<Coordinator>), AgentError> {
    let (sender, receiver) = bounded::<Coordinator>(1);
    let start = |inbox| {
        spawn("coordinator", COORDINATOR_STACK_BYTES, move || {
            if let Ok(coordinator) = receiver.recv() {
                coordinator.run(&inbox);
            }
        })
    };
    let events = mailbox::spawn_receiver(EVENT_QUEUE_CAPACITY, start)
        .map_err(AgentError::start("coordinator"))?;
    Ok((Arc::new(events), sender))
}

/// Keeps the agent running while the proxy drains, since a draining proxy still needs updates.
fn wait_for_proxy(events: &MailboxSender<Event>, timeout: Duration) {
    let (done, proxy_done) = bounded(1);
    events.send(Event::Shutdown { done }, None);
    let _ = proxy_done.recv_timeout(timeout);
}
