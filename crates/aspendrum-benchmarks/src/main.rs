//! The command line. Everything else is in the library.

use aspendrum_benchmarks::{cores, hollow};
use bpaf::Bpaf;
use std::process::ExitCode;

/// What each core and each process costs by the size of the fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Line {
    /// The cores, in this process
    #[bpaf(command)]
    Cores {
        /// Only those whose name begins so
        #[bpaf(long("only"), argument("NAME"), fallback(String::new()))]
        only: String,
    },
    /// Real processes of control before hollow agents in this process
    #[bpaf(command)]
    Hollow {
        #[bpaf(external(hollow::plan))]
        plan: hollow::Plan,
    },
}

fn main() -> ExitCode {
    let done = match line().run() {
        Line::Cores { only } => cores::all(&only),
        Line::Hollow { plan } => hollow::play(&plan),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("stocktake: {why}");
            ExitCode::FAILURE
        }
    }
}
