//! Endpoints: the servers that the decision engine may use. A server is usable if the platform lists it, it is not
//! draining, its zone is not evacuated, and its slow start is over or this proxy has a token for it. The module also
//! contains the retry budget.
//!
//! This module does no I/O and reads no clock; times are milliseconds of the caller's clock.

mod location;
mod preference;
mod retry_budget;
mod set;
mod slow_start;

pub use location::ZoneLocation;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use set::{Endpoint, EndpointLimits, EndpointSet, Reservation};
pub use slow_start::{SlowStart, SlowStartTolerance};
