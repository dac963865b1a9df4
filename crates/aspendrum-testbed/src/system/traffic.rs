//! The traffic of a run: requests at a constant rate, generated from the scenario's seed.

use super::client_exchange::{Disconnect, RequestPlan, DISCONNECT_MANNERS};
use super::clients::Clients;
use super::scenario::{Habits, Scenario};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// The share of once-only requests.
const ONCE_ONLY_SHARE: f64 = 0.4;

/// Sends the traffic of a scenario that began at `start`. Returns the requests that are still in flight at its end.
pub(super) async fn send(s: &Scenario, clients: &Arc<Clients>, start: Instant) -> JoinSet<()> {
    let mut rng = SmallRng::seed_from_u64(s.seed);
    let mut requests = JoinSet::new();
    let gap = 1.0 / s.queries_per_s;
    for number in 0..(s.seconds * s.queries_per_s) as u32 {
        sleep_until(start + Duration::from_secs_f64(f64::from(number) * gap)).await;
        let plan = draw_plan(&mut rng, s);
        let clients = clients.clone();
        requests.spawn(async move { clients.request(plan).await });
        while requests.try_join_next().is_some() {}
    }
    requests
}

fn draw_plan(rng: &mut SmallRng, s: &Scenario) -> RequestPlan {
    let is_once_only = rng.random::<f64>() < ONCE_ONLY_SHARE;
    let tenant = rng.random::<f64>() * (1.0 + s.hot);
    let zone = rng.random_range(0..s.zones);
    RequestPlan {
        route: usize::from(is_once_only),
        is_once_only,
        tenant: usize::from(tenant >= s.hot),
        zone,
        ..draw_habits(rng, &s.habits)
    }
}

/// Draws how the client uses its connection; the route, tenant and zone are set by the caller.
fn draw_habits(rng: &mut SmallRng, habits: &Habits) -> RequestPlan {
    let keeps_connection = rng.random();
    let ignores_lookups = rng.random::<f64>() < habits.stubborn;
    let mut draw = |share: f64| share > 0.0 && rng.random::<f64>() < share;
    let reuses_any_connection = draw(habits.faithful);
    let is_pipelined = draw(habits.ahead);
    let disconnects = draw(habits.leave);
    let has_long_body = draw(habits.long);
    RequestPlan {
        keeps_connection,
        ignores_lookups,
        reuses_any_connection,
        is_pipelined,
        has_long_body,
        disconnect: disconnects.then(|| draw_disconnect(rng, habits)),
        ..RequestPlan::simple(0)
    }
}

fn draw_disconnect(rng: &mut SmallRng, habits: &Habits) -> Disconnect {
    let after_ms = rng.random_range(habits.leave_least_ms..=habits.leave_most_ms);
    Disconnect {
        after: Duration::from_secs_f64(after_ms / 1000.0),
        manner: DISCONNECT_MANNERS[rng.random_range(0..DISCONNECT_MANNERS.len())],
    }
}
