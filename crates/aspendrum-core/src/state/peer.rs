//! What an instance remembers of other instances.

use crate::api::Millis;

/// Another instance, as an owner of quotas.
#[derive(Clone, Copy, Default)]
pub(crate) struct Peer {
    /// Requests in a row that it has not answered.
    pub(crate) missed_replies: u32,
    /// It is asked nothing until then.
    pub(crate) unreachable_until: Millis,
    /// It has answered the last finished request to it.
    pub(crate) is_answering: bool,
    /// It said that it cannot reach the shared counter.
    pub(crate) lacks_counter: bool,
}
