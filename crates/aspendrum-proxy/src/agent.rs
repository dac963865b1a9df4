//! The loopback connection to the agent on this machine: updates come in and are applied, heartbeats go out.

use crate::state::ProxyState;
use aspendrum_model::message::{FromControl, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::threads::spawn;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Updates hold whole configurations: reading one takes more stack than a request does.
const STACK_BYTES: usize = 512 << 10;
const RECONNECT_EVERY: Duration = Duration::from_millis(100);
/// TCP user time-out: the connection ends if the agent acknowledges no bytes within this time.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages that may wait to be written.
const QUEUE_LENGTH: usize = 32;
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Connects to the agent, again and again, for as long as the process runs. `listen_address`: where clients reach this
/// proxy.
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
        sleep(RECONNECT_EVERY);
    })?;
    Ok(())
}

fn connect(agent_address: SocketAddrV4) -> io::Result<(Arc<Link>, Arc<TcpStream>)> {
    let stream = Link::connect(agent_address, ACKNOWLEDGE_TIMEOUT)?;
    let link = Link::from_stream(stream.clone(), ACKNOWLEDGE_TIMEOUT, QUEUE_LENGTH)?;
    Ok((Arc::new(link), stream))
}

/// Handles messages until the connection ends.
fn receive(state: &ProxyState, link: &Link, stream: &TcpStream) {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Ok(message) = frames::read_frame::<FromControl>(&mut reader) {
        match message {
            FromControl::Update { number, section } => {
                let is_ordered = matches!(
                    section,
                    StateSection::Config { .. } | StateSection::Evacuated { .. }
                );
                state.dispatcher.apply(section);
                if is_ordered {
                    state.update_applied();
                }
                link.send(&ToControl::Applied { number });
            }
            FromControl::Resync => state.dispatcher.rebuild_tables(),
            FromControl::Heartbeat {
                sent_at_ms,
                majority_age: age,
                decided: of,
                control_reachable: heard,
                most_agents_isolated: deserted,
            } => {
                state.record_control_report(sent_at_ms, age, of, deserted);
                state.record_control_reachable(sent_at_ms, heard);
            }
        }
    }
}
