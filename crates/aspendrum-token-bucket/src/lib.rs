//! State that the limiters of a customer's set share while the counter says nothing, and that stays within the quota
//! whatever is lost, late, doubled or reordered between them and whoever stalls, dies or starts again. Free of I/O and
//! clocks. docs/shared-state.md has the bound; docs/design-shared-counts.md the options weighed.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod purse;

pub use purse::{Gift, Purse, Terms};

/// Milliseconds of the clock that all limiters read.
pub type Ms = u64;
/// Billionths of a unit. Whole numbers: what one limiter gives is to the last grain what another takes.
pub type Grains = u64;

/// Grains of one unit.
pub const UNIT: Grains = 1_000_000_000;
