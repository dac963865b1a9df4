//! Endpoints: the servers that the decision engine may use now. These are the servers of the platform's list that do
//! not drain, are in no evacuated zone, and are past their slow start or have a token left for this proxy. The module
//! also keeps the budget of retries.
//!
//! Nothing in this module does I/O or reads a clock; times are milliseconds of the caller's clock.

mod location;
mod preference;
mod retry_budget;
mod set;
mod slow_start;

pub use location::ZoneLocation;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use set::{Endpoint, EndpointLimits, EndpointSet, Reservation};
pub use slow_start::{SlowStart, SlowStartTolerance};
