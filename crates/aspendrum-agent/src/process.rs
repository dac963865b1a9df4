//! An agent process from its start to its end.

use crate::control_endpoints::ControlEndpoints;
use crate::coordinator::Coordinator;
use crate::error::AgentError;
use crate::event::Event;
use crate::gossip_socket::GossipSocket;
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

/// Events that may wait for the coordinator.
const EVENTS: usize = 1024;
const COORDINATOR_STACK_BYTES: usize = 256 << 10;
/// Of the grace period, how long the agent waits for its proxy's end.
const WAIT_FOR_PROXY_SHARE: f64 = 0.95;

/// Runs an agent until a termination signal.
///
/// # Errors
///
/// The settings cannot be read, an address cannot be bound, or a thread cannot be started.
pub fn serve(signals: ProcessSignals) -> Result<(), AgentError> {
    let settings = Settings::load().map_err(AgentError::Settings)?;
    let (events, coordinator) = start_coordinator()?;
    let endpoints = ControlEndpoints::new(&settings);
    control_connection::start(&endpoints, &settings, &events)
        .map_err(AgentError::of_component("control"))?;
    proxy_listener::start(settings.agent_addr(), &events)
        .map_err(AgentError::of_component("agent port"))?;
    let gossip =
        GossipSocket::open(&settings, &events).map_err(AgentError::of_component("peer ports"))?;
    snapshot::start_server(&settings, &events).map_err(AgentError::of_component("peer ports"))?;
    let snapshots = SnapshotClient::new(&settings, &events);
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
        duration_from_millis(WAIT_FOR_PROXY_SHARE * settings.shutdown_grace_s * 1000.0),
    );
    Ok(())
}

/// Starts the coordinator's thread, which waits for the coordinator itself: that needs the sender of its events first.
fn start_coordinator() -> Result<(Arc<MailboxSender<Event>>, Sender<Coordinator>), AgentError> {
    let (sender, receiver) = bounded::<Coordinator>(1);
    let start = |inbox| {
        spawn("coordinator", COORDINATOR_STACK_BYTES, move || {
            if let Ok(coordinator) = receiver.recv() {
                coordinator.run(&inbox);
            }
        })
    };
    let events =
        mailbox::spawn_receiver(EVENTS, start).map_err(AgentError::of_component("coordinator"))?;
    Ok((Arc::new(events), sender))
}

/// A draining proxy finishes its requests, and needs updates meanwhile.
fn wait_for_proxy(events: &MailboxSender<Event>, timeout: Duration) {
    let (done, proxy_has_ended) = bounded(1);
    events.send(Event::Shutdown { done }, None);
    let _ = proxy_has_ended.recv_timeout(timeout);
}
