//! A cache of recent replies to quota requests, which makes retransmitted requests idempotent.

use crate::api::{RequestId, TenantId};
use crate::peer_message::{MessageId, PeerMessage};
use std::collections::VecDeque;

/// The number of replies kept.
const CACHED_REPLIES: usize = 64;

/// Returns the request id of a peer's quota request. Its highest bit is set, unlike in the ids of
/// clients' requests.
pub(crate) fn peer_request_id(peer: u16, id: MessageId) -> RequestId {
    1 << 63 | u64::from(peer) << 32 | u64::from(id.0)
}

/// A reply sent to another instance.
pub(crate) struct CachedReply {
    /// The id of the answered request ([`peer_request_id`]).
    pub(crate) request: RequestId,
    pub(crate) message: PeerMessage,
    pub(crate) tenant: TenantId,
    /// Units granted and not returned.
    pub(crate) units: f64,
}

/// The most recent replies. A retransmitted request gets the cached reply and is not decided again.
#[derive(Default)]
pub(crate) struct ReplyCache {
    /// The most recent reply first.
    replies: VecDeque<CachedReply>,
}

impl ReplyCache {
    /// Adds a reply, and evicts the oldest one if the cache is full.
    pub(crate) fn insert(&mut self, reply: CachedReply) {
        self.replies.truncate(CACHED_REPLIES - 1);
        self.replies.push_front(reply);
    }

    /// Returns the reply to the request.
    pub(crate) fn find(&mut self, request: RequestId) -> Option<&mut CachedReply> {
        self.replies
            .iter_mut()
            .find(|reply| reply.request == request)
    }
}
