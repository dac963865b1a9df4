//! Short simulated nights. `cargo run --release --example overnight` simulates long ones.

#[path = "../examples/overnight/simulation/mod.rs"]
mod simulation;

use simulation::{Simulation, Variant, CONVERGENCE_LIMIT};

/// Guards against a node that misses a change and later routes a non-idempotent request by a replaced route.
#[test]
fn no_request_takes_a_replaced_route_and_all_nodes_converge() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(70, seed, Variant::Correct);
        let converged_after = simulation.run(0.5, 40);
        let metrics = simulation.metrics;
        assert_eq!(metrics.violations, 0, "seed {seed}");
        let converged = converged_after.is_some_and(|time| time <= CONVERGENCE_LIMIT);
        assert!(converged, "seed {seed}: {converged_after:?}");
        // A system that rejects all requests would pass the checks above.
        let (rejected, requests) = (metrics.rejected, metrics.requests);
        assert!(
            rejected * 2 < requests,
            "seed {seed}: {rejected} of {requests} rejected"
        );
    }
}

/// The simulation detects a node that treats the last update as the decided state.
#[test]
fn the_simulation_detects_a_node_that_trusts_the_last_update() {
    let mut simulation = Simulation::new(70, 1, Variant::TrustsUpdates);
    simulation.run(0.5, 40);
    assert!(simulation.metrics.violations > 0);
}
