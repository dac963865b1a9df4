//! Measures what cores and processes cost at graded sizes of the fleet, up to the size that the operators
//! name. One line of key=value pairs for each figure. Processor time, not time that passed: other work on the
//! machine then changes little. Everything is on loopback, and all servers are hollow.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod cores;
pub mod hollow;
pub mod measure;
pub mod sizes;

use peak_alloc::PeakAlloc;

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;
