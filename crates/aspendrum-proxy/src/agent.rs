//! The loopback connection to the agent on this machine: receives and applies updates, and sends heartbeats.

use crate::state::ProxyState;
use aspendrum_model::message::{FromControl, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, FrameSender};
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Stack size of the receiving thread. An update contains a whole configuration, which takes more stack to
/// decode than a request.
const STACK_BYTES: usize = 512 << 10;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// TCP user timeout: the connection is closed if the agent acknowledges no bytes within this time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The capacity of the queue of outgoing messages.
const SEND_QUEUE_CAPACITY: usize = 32;
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Starts the thread that keeps a connection to the agent, and reconnects when it is lost. `listen_address` is the
/// proxy's address for clients.
pub(crate) fn start(
    state: &Arc<ProxyState>,
    settings: &Settings,
    listen_address: SocketAddrV4,
) -> io::Result<()> {
    let (state, agent_address) = (state.clone(), settings.agent_addr());
    let (host, zone) = (settings.host_name.clone(), settings.zone.clone());
    spawn("agent", STACK_BYTES, move || loop {
        if let Ok((link, stream)) = connect(agent_address) {
            link.send(&ToControl::Hello {
                host: host.clone(),
                proxy_addr: listen_address,
                zone: zone.clone(),
            });
            state.agent_link.set(Some(link.clone()));
            receive(&state, &link, &stream);
            state.agent_link.set(None);
            log::info!("event=agent_lost");
        }
        sleep(RECONNECT_INTERVAL);
    })?;
    Ok(())
}

fn connect(agent_address: SocketAddrV4) -> io::Result<(Arc<FrameSender>, Arc<TcpStream>)> {
    let stream = FrameSender::connect(agent_address, ACKNOWLEDGE_TIMEOUT)?;
    let link = FrameSender::from_stream(stream.clone(), ACKNOWLEDGE_TIMEOUT, SEND_QUEUE_CAPACITY)?;
    Ok((Arc::new(link), stream))
}

/// Handles messages until the connection ends.
fn receive(state: &ProxyState, link: &FrameSender, stream: &TcpStream) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(message) = frames::read_frame::<FromControl>(&mut reader) {
        match message {
            FromControl::Update { number, section } => {
                let is_versioned = matches!(
                    section,
                    StateSection::Config { .. } | StateSection::EvacuatedZones { .. }
                );
                state.dispatcher.apply(section);
                if is_versioned {
                    state.update_applied_digest();
                }
                link.send(&ToControl::Applied { number });
            }
            FromControl::Resync => state.dispatcher.rebuild_tables(),
            FromControl::HeartbeatReply {
                sent_at_ms,
                majority_age,
                decided,
                control_reachable,
                half_of_agents_isolated,
            } => state.record_heartbeat_reply(
                sent_at_ms,
                majority_age,
                decided,
                control_reachable,
                half_of_agents_isolated,
            ),
        }
    }
}
