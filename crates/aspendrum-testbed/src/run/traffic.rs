//! Sends the planned queries of a run at their scheduled times.

use super::fleet::Fleet;
use crate::clients::{ClientPool, Customer, PlannedQuery};
use aspendrum_checker::limiter::Query;
use aspendrum_checker::Millis;
use aspendrum_fake_services::Clock;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Sends all queries at their scheduled times, and returns their results once all have ended.
pub(super) async fn send_queries(
    fleet: &Arc<Fleet>,
    clients: &Arc<ClientPool>,
    customers: &Arc<Vec<Customer>>,
    plan: Vec<PlannedQuery>,
) -> Vec<Query> {
    let mut queries = JoinSet::new();
    for query in plan {
        sleep_until(instant_at(fleet.clock, query.at)).await;
        let scenario = fleet.scenario.clone();
        let (clients, customers) = (clients.clone(), customers.clone());
        queries.spawn(async move { clients.send(&scenario, &customers, &query).await });
    }
    queries.join_all().await
}

/// Converts a time on the clock of the run to an [`Instant`].
pub(super) fn instant_at(clock: Clock, at: Millis) -> Instant {
    Instant::from_std(clock.started_at() + Duration::from_secs_f64(at.max(0.0) / 1000.0))
}
