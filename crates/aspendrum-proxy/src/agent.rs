//! The loopback connection to the agent on this machine: news come in and are applied, beats go out.

use crate::Shop;
use aspendrum_model::message::{FromControl, Readiness, StateDigest, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::threads::{lock, spawn};
use std::io::BufReader;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const STACK: usize = 512 << 10;
const REDIAL: Duration = Duration::from_millis(100);
const SILENCE: Duration = Duration::from_secs(5);
const ROOM: usize = 32;

/// The link, while there is one.
#[derive(Default)]
pub struct Agent(Mutex<Option<Arc<Link>>>);

impl Agent {
    /// A sign of life. The time comes back with the licence's age.
    pub fn beat(&self, sent_at_ms: u64, readiness: Readiness, applied: StateDigest) {
        let link = lock(&self.0).clone();
        if let Some(link) = link {
            link.send(&ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            });
        }
    }
}

/// Keeps the link for as long as the process runs.
pub fn hold(
    shop: &Arc<Shop>,
    settings: &Settings,
    proxy_addr: SocketAddrV4,
) -> std::io::Result<()> {
    let (shop, at) = (shop.clone(), settings.agent_addr());
    let (host, zone) = (settings.host_name.clone(), settings.zone.clone());
    spawn("agent", STACK, move || loop {
        if let Ok(stream) = Link::connect(at, SILENCE) {
            if let Ok(link) = Link::from_stream(stream.clone(), SILENCE, ROOM) {
                let link = Arc::new(link);
                link.send(&ToControl::Hello {
                    host: host.clone(),
                    proxy_addr,
                    zone: zone.clone(),
                });
                *lock(&shop.agent.0) = Some(link.clone());
                let mut from = BufReader::with_capacity(4 << 10, &*stream);
                while let Ok(said) = frames::read_frame::<FromControl>(&mut from) {
                    match said {
                        FromControl::Update { number, section } => {
                            let orders = matches!(
                                section,
                                StateSection::Config { .. } | StateSection::Evacuated { .. }
                            );
                            shop.desk.apply(section);
                            if orders {
                                shop.collate();
                            }
                            link.send(&ToControl::Applied { number });
                        }
                        FromControl::Resync => shop.desk.anew(),
                        FromControl::Heartbeat {
                            sent_at_ms: stamp,
                            majority_age: age,
                            decided: of,
                            control_reachable: heard,
                            most_agents_isolated: deserted,
                        } => {
                            shop.told(stamp, age, of, deserted);
                            shop.heard(heard);
                        }
                    }
                }
                *lock(&shop.agent.0) = None;
                log::info!("event=agent_lost");
            }
        }
        sleep(REDIAL);
    })?;
    Ok(())
}
