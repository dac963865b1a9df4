//! Short simulated nights; `cargo run --release --example overnight` simulates long ones.

#[path = "../examples/overnight/simulation/mod.rs"]
mod simulation;

use simulation::{Simulation, Variant, CONVERGENCE_LIMIT};

/// Risk: a node misses a change overnight, and in the morning a transfer takes a route that was replaced.
#[test]
fn no_request_takes_a_replaced_route_and_all_nodes_agree_in_the_morning() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(70, seed, Variant::Sound);
        let converged_after = simulation.run(0.5, 40);
        let metrics = simulation.metrics;
        assert_eq!(metrics.violations, 0, "seed {seed}");
        let converged = converged_after.is_some_and(|time| time <= CONVERGENCE_LIMIT);
        assert!(converged, "seed {seed}: {converged_after:?}");
        // Rejecting every request would satisfy the above.
        let (rejected, requests) = (metrics.rejected, metrics.requests);
        assert!(
            rejected * 2 < requests,
            "seed {seed}: {rejected} of {requests} rejected"
        );
    }
}

/// The same nights find a node that takes the last update for what was decided.
#[test]
fn a_node_that_trusts_the_last_update_is_found() {
    let mut simulation = Simulation::new(70, 1, Variant::TrustsUpdates);
    simulation.run(0.5, 40);
    assert!(simulation.metrics.violations > 0);
}
