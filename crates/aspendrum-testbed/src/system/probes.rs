//! Probes of added routes. Each proxy is probed for the first acknowledged route that it has not served yet, and once it
//! serves all of them, for random ones. This shows when a configuration is in force at each proxy, and that no proxy reverts
//! to an older one.

use super::clients::Clients;
use aspendrum_checker::system::{AttemptOutcome, Record};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use rand::Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The interval between probes of a proxy for a route that it does not serve yet.
const UNSERVED_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between probes of a proxy that serves all added routes.
const SERVED_INTERVAL: Duration = Duration::from_millis(500);

/// An added route.
#[derive(Clone, Copy, Debug)]
pub struct AddedRoute {
    /// The index of the route.
    pub route: usize,
    /// When the operator received the acknowledgement.
    pub acknowledged_at: Millis,
}

/// The first time that a proxy served an added route.
#[derive(Clone, Copy, Debug)]
pub struct ServedRoute {
    /// The index of the proxy.
    pub proxy: usize,
    /// When the route was acknowledged.
    pub acknowledged_at: Millis,
    /// When the first request that the proxy served was sent.
    pub served_at: Millis,
}

/// The added routes, and when proxies first served them.
#[derive(Default)]
pub struct Probes {
    added: watch::Sender<Vec<AddedRoute>>,
    served: Mutex<Vec<ServedRoute>>,
    is_stopped: AtomicBool,
}

impl Probes {
    /// Adds a route that was acknowledged to the operator.
    pub fn add(&self, added: AddedRoute) {
        self.added.send_modify(|all| all.push(added));
    }

    /// Stops sending probes.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Probes one proxy until [`Probes::stop`] is called.
    pub async fn run(self: Arc<Probes>, clients: Arc<Clients>, proxy: usize) {
        let (mut served_count, mut changes) = (0, self.added.subscribe());
        while !self.is_stopped.load(Ordering::Relaxed) {
            let added = changes.borrow_and_update().clone();
            if let Some(next) = added.get(served_count) {
                let (outcome, sent_at) = clients.probe(proxy, next.route).await;
                if outcome == AttemptOutcome::Answered {
                    self.record(proxy, next, sent_at);
                    served_count += 1;
                } else {
                    sleep(UNSERVED_INTERVAL).await;
                }
                continue;
            }
            if let Some(served) = random_route(&added) {
                clients.probe(proxy, served.route).await;
            }
            let _ = timeout(SERVED_INTERVAL, changes.changed()).await;
        }
    }

    fn record(&self, proxy: usize, added: &AddedRoute, served_at: Millis) {
        lock(&self.served).push(ServedRoute {
            proxy,
            acknowledged_at: added.acknowledged_at,
            served_at,
        });
    }

    /// Returns for each added route when it was acknowledged, and how many milliseconds later the last connected proxy served
    /// it, in the order of the acknowledgements. A proxy that never served the route counts until the end of the traffic. A
    /// route without any proxy that was connected throughout is omitted.
    pub fn propagation_times(&self, record: &Record, proxies: usize) -> Vec<(Millis, Millis)> {
        let all_served = lock(&self.served);
        let added = self.added.borrow();
        let times = added.iter().filter_map(|added| {
            let acknowledged_at = added.acknowledged_at;
            let delays = (0..proxies).filter_map(|proxy| {
                let served = all_served
                    .iter()
                    .find(|one| one.proxy == proxy && one.acknowledged_at == acknowledged_at);
                let served_at = served.map_or(record.to, |served| served.served_at);
                let since = acknowledged_at - record.bounds.contact;
                let is_connected = !record.is_faulty(proxy, since, served_at);
                is_connected.then_some((served_at - acknowledged_at).max(0.0))
            });
            let longest = delays.reduce(Millis::max)?;
            Some((acknowledged_at, longest))
        });
        times.collect()
    }
}

fn random_route(added: &[AddedRoute]) -> Option<AddedRoute> {
    let at = rand::rng().random_range(0..added.len().max(1));
    added.get(at).copied()
}
