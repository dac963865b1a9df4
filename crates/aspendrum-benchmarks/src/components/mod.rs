//! Single components, measured in this process at graded sizes of the fleet.

mod configurations;
mod consensus;
mod directory;
mod gossip;
mod proxy;
mod server_lists;

use crate::error::BenchmarkError;

/// The benchmark of one component.
struct Benchmark {
    name: &'static str,
    run: fn(),
}

const BENCHMARKS: [Benchmark; 6] = [
    Benchmark {
        name: "model",
        run: configurations::run,
    },
    Benchmark {
        name: "lists",
        run: server_lists::run,
    },
    Benchmark {
        name: "proxy",
        run: proxy::run,
    },
    Benchmark {
        name: "gossip",
        run: gossip::run,
    },
    Benchmark {
        name: "consensus",
        run: consensus::run,
    },
    Benchmark {
        name: "finding",
        run: directory::run,
    },
];

/// Runs the benchmarks whose names begin with `prefix`, and prints their figures.
///
/// # Errors
/// No name begins so.
pub fn run(prefix: &str) -> Result<(), BenchmarkError> {
    let is_chosen = |benchmark: &&Benchmark| benchmark.name.starts_with(prefix);
    let chosen: Vec<&Benchmark> = BENCHMARKS.iter().filter(is_chosen).collect();
    if chosen.is_empty() {
        return Err(BenchmarkError::UnknownComponent {
            prefix: prefix.to_string(),
            names: BENCHMARKS.map(|benchmark| benchmark.name).join(", "),
        });
    }
    for benchmark in chosen {
        (benchmark.run)();
    }
    Ok(())
}
