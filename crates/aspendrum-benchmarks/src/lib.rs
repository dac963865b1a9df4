//! Measures what the components and the processes of the system cost by the size of the fleet, up to the size that the
//! operators aim for: the runs behind `docs/CAPACITY.md`.
//!
//! - [`components`] runs single components in this process.
//! - [`simulated_fleet`] runs real control processes, connected to simulated agents in this process.
//!
//! Each figure is one line of key=value pairs on standard output ([`figure`]). Processor time is measured rather than
//! elapsed time, so that other work on the machine changes little. Everything runs on loopback.

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
