//! Benchmarks of single components at several fleet sizes.

mod configurations;
mod consensus;
mod directory;
mod exchanges;
mod gossip;
mod proxy;
mod server_lists;

use crate::error::BenchmarkError;

/// The benchmark of one component.
struct Benchmark {
    name: &'static str,
    run: fn(),
}

const BENCHMARKS: [Benchmark; 7] = [
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
        name: "exchanges",
        run: exchanges::run,
    },
    Benchmark {
        name: "finding",
        run: directory::run,
    },
];

/// Runs the benchmarks whose names start with `prefix` and prints their figures.
///
/// # Errors
/// Returns [`BenchmarkError::UnknownComponent`] if no name starts with `prefix`.
pub fn run(prefix: &str) -> Result<(), BenchmarkError> {
    let has_prefix = |benchmark: &&Benchmark| benchmark.name.starts_with(prefix);
    let selected: Vec<&Benchmark> = BENCHMARKS.iter().filter(has_prefix).collect();
    if selected.is_empty() {
        return Err(BenchmarkError::UnknownComponent {
            prefix: prefix.to_string(),
            names: BENCHMARKS.map(|benchmark| benchmark.name).join(", "),
        });
    }
    for benchmark in selected {
        (benchmark.run)();
    }
    Ok(())
}
