//! Probes of added routes: each proxy is asked for the first route that an operator was told is there and that it has not
//! served yet, until it serves it, and for older ones after that. They show when a configuration is in force at each proxy, and that none goes back.

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

/// Between two probes of a proxy that does not serve a route yet.
const UNSERVED_INTERVAL: Duration = Duration::from_millis(50);
/// Between two probes of one that does.
const SERVED_INTERVAL: Duration = Duration::from_millis(500);

/// A route that was added.
#[derive(Clone, Copy, Debug)]
pub struct AddedRoute {
    /// Its number.
    pub route: usize,
    /// When the operator had the acknowledgement.
    pub acknowledged_at: Millis,
}

/// A proxy serves an added route.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    /// The proxy.
    pub proxy: usize,
    /// When the route was acknowledged.
    pub acknowledged_at: Millis,
    /// When the first request was sent that the proxy served.
    pub served_at: Millis,
}

/// The added routes, and which proxies serve them since when.
#[derive(Default)]
pub struct Probes {
    added: watch::Sender<Vec<AddedRoute>>,
    in_force: Mutex<Vec<InForce>>,
    is_over: AtomicBool,
}

impl Probes {
    /// An operator was told that a route is there.
    pub fn add(&self, added: AddedRoute) {
        self.added.send_modify(|all| all.push(added));
    }

    /// No further probe is sent.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Probes one proxy until the end.
    pub async fn run(self: Arc<Probes>, clients: Arc<Clients>, proxy: usize) {
        let (mut served, mut changes) = (0, self.added.subscribe());
        while !self.is_over.load(Ordering::Relaxed) {
            let added = changes.borrow_and_update().clone();
            if let Some(next) = added.get(served) {
                let (outcome, sent_at) = clients.probe(proxy, next.route).await;
                if outcome == AttemptOutcome::Answered {
                    self.record(proxy, next, sent_at);
                    served += 1;
                } else {
                    sleep(UNSERVED_INTERVAL).await;
                }
                continue;
            }
            if let Some(known) = choose(&added) {
                clients.probe(proxy, known.route).await;
            }
            let _ = timeout(SERVED_INTERVAL, changes.changed()).await;
        }
    }

    fn record(&self, proxy: usize, added: &AddedRoute, served_at: Millis) {
        lock(&self.in_force).push(InForce {
            proxy,
            acknowledged_at: added.acknowledged_at,
            served_at,
        });
    }

    /// The time from each acknowledgement to the last connected proxy that serves the route, in milliseconds, in the order of
    /// the acknowledgements. One that does not serve it by the end of the run counts with the time until then. A route that
    /// no connected proxy was probed for is left out.
    pub fn times_to_last(&self, record: &Record, proxies: usize) -> Vec<(Millis, Millis)> {
        let in_force = lock(&self.in_force);
        let added = self.added.borrow();
        let times = added.iter().filter_map(|added| {
            let acknowledged_at = added.acknowledged_at;
            let of_proxies = (0..proxies).filter_map(|proxy| {
                let served = in_force
                    .iter()
                    .find(|one| one.proxy == proxy && one.acknowledged_at == acknowledged_at);
                let served_at = served.map_or(record.to, |served| served.served_at);
                let since = acknowledged_at - record.bounds.contact;
                let is_connected = !record.is_faulty(proxy, since, served_at);
                is_connected.then_some((served_at - acknowledged_at).max(0.0))
            });
            let last = of_proxies.reduce(Millis::max)?;
            Some((acknowledged_at, last))
        });
        times.collect()
    }
}

fn choose(added: &[AddedRoute]) -> Option<AddedRoute> {
    let at = rand::rng().random_range(0..added.len().max(1));
    added.get(at).copied()
}
