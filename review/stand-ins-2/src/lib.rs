//! Stand-ins for the cases of the second review: the platform's list of servers, servers, clients and the operator, and
//! the start of a small deployment from the project's own programs. Only the standard library is used.

pub mod deployment;
pub mod http;
pub mod record;
pub mod server;
pub mod signals;

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
pub type CannotRun = String;
