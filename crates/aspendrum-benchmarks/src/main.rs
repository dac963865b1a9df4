//! The command line. Everything else is in the library.

use aspendrum_benchmarks::{components, simulated_fleet};
use bpaf::Bpaf;
use std::process::ExitCode;

/// What each component and each process costs by the size of the fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Single components, in this process
    #[bpaf(command("components"), long("cores"))]
    Components {
        /// Only those whose name begins so
        #[bpaf(long("only"), argument("NAME"), fallback(String::new()))]
        only: String,
    },
    /// Real control processes with simulated agents in this process
    #[bpaf(command("simulated-fleet"), long("hollow"))]
    SimulatedFleet {
        #[bpaf(external(simulated_fleet::plan::plan))]
        plan: simulated_fleet::plan::Plan,
    },
}

fn main() -> ExitCode {
    let result = match arguments().run() {
        Arguments::Components { only } => components::run(&only),
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
