//! The state kept about other instances.

use crate::api::Millis;

/// Another instance, in its role as quota owner.
#[derive(Clone, Copy, Default)]
pub(crate) struct Peer {
    /// The number of consecutive requests that it has not answered.
    pub(crate) missed_replies: u32,
    /// No requests are sent to it until then.
    pub(crate) unreachable_until: Millis,
    /// It answered the last completed request.
    pub(crate) is_responsive: bool,
    /// It reported in its last reply that it cannot reach the shared counter.
    pub(crate) counter_unreachable: bool,
}
