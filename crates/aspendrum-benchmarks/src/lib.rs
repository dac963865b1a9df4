//! Benchmarks of components and processes by fleet size, up to the operators' target size. `docs/CAPACITY.md` is based
//! on their results.
//!
//! - [`components`] benchmarks single components in this process.
//! - [`simulated_fleet`] benchmarks real control processes, connected to simulated agents in this process.
//!
//! Each figure is one line of key=value pairs on standard output ([`figure`]). Most figures are CPU time instead of
//! elapsed time, which reduces the influence of other load on the machine. All connections use loopback.

pub mod components;
pub mod error;
pub mod figure;
pub mod fleet_data;
pub mod fleet_size;
pub mod measure;
pub mod simulated_fleet;

use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;
