//! The command-line interface of the benchmarks.

use aspendrum_benchmarks::{components, simulated_fleet};
use bpaf::Bpaf;
use std::process::ExitCode;

/// Benchmarks components and processes by fleet size
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Benchmark single components in this process
    #[bpaf(command("components"), long("cores"))]
    Components {
        /// Run only the components whose names start with NAME
        #[bpaf(long("only"), argument("NAME"), fallback(String::new()))]
        name_prefix: String,
    },
    /// Benchmark real control processes with simulated agents in this process
    #[bpaf(command("simulated-fleet"), long("hollow"))]
    SimulatedFleet {
        #[bpaf(external(simulated_fleet::plan::plan))]
        plan: simulated_fleet::plan::Plan,
    },
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Components { name_prefix } => components::run(&name_prefix),
        Arguments::SimulatedFleet { plan } => simulated_fleet::run(&plan),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aspendrum-benchmarks: {error}");
            ExitCode::FAILURE
        }
    }
}
