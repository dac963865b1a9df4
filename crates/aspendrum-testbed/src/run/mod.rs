//! Runs a limiter scenario: starts the fleet and its fakes, sends the traffic, injects the faults, and checks the record.

mod addresses;
mod error;
mod exemptions;
mod faults;
mod fleet;
mod limiters;
mod links;
mod outcome;
mod record;
mod services;
mod traffic;

pub use error::{Failure, RunError};
pub use outcome::{Outcome, ResourceUsage, Traffic};

use crate::clients::{self, ClientPool};
use crate::program::Program;
use crate::scenario::Scenario;
use aspendrum_checker::limiter::check;
use aspendrum_fault_proxy::Relay;
use fleet::Fleet;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// The delay between the readiness of the fleet and the first query.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Runs a scenario on a runtime of its own. An interrupt (SIGINT) ends the run like any other error, and stops all processes
/// that it started. The limiters' configurations and logs are written to `folder`, and `progress` receives status messages.
///
/// # Errors
/// [`RunError`] if the run could not be completed.
pub fn play(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(RunError::Runtime)?;
    runtime.block_on(async {
        tokio::select! {
            done = run(scenario, program, folder, progress) => done,
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
        }
    })
}

async fn run(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, RunError> {
    raise_descriptor_limit();
    std::fs::create_dir_all(folder).map_err(RunError::RunDirectory)?;
    let fleet = Fleet::prepare(scenario, program, folder).await;
    let fleet = Arc::new(fleet.map_err(RunError::Services)?);
    progress(&format!("starting {} limiters", scenario.limiters.count));
    fleet.start_limiters().await?;
    sleep(SETTLING_TIME).await;

    let customers = Arc::new(clients::customers(scenario));
    let addresses = fleet.links.clients.iter().map(Relay::addr).collect();
    let pool = Arc::new(ClientPool::new(fleet.clock, addresses));
    let from = fleet.clock.now();
    let to = from + scenario.seconds * MILLIS_PER_SECOND;
    let plan = clients::plan_queries(scenario, &customers, from);
    progress(&format!(
        "sending {} queries over {:.0} s",
        plan.len(),
        scenario.seconds
    ));
    let faults = tokio::spawn(fleet.clone().play_faults(from));
    let queries = traffic::send_queries(&fleet, &pool, &customers, plan).await;
    faults.await.map_err(RunError::Timeline)?;

    let usage = fleet.usage().await;
    fleet.shut_down_limiters().await;
    let record = fleet.record(&customers, queries, from, to);
    Ok(Outcome {
        verdict: check(&record),
        record,
        traffic: fleet.traffic(),
        usage,
        failures: fleet.take_failures(),
    })
}

/// Raises the soft limit of file descriptors to the hard limit: a run with 40 limiters opens thousands of sockets.
fn raise_descriptor_limit() {
    if let Ok((_, hard_limit)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit);
    }
}
