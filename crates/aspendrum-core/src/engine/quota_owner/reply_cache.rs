//! The last replies to quota requests, to be sent again when their requests come again: a request
//! is decided once.

use crate::api::{RequestId, TenantId};
use crate::peer_message::{MessageId, PeerMessage};
use std::collections::VecDeque;

/// Replies kept.
const CACHED_REPLIES: usize = 64;

/// A peer's quota request as an id among those of clients' requests, whose highest bit is not set.
pub(crate) fn peer_request_id(peer: u16, id: MessageId) -> RequestId {
    1 << 63 | u64::from(peer) << 32 | u64::from(id.0)
}

/// A reply given to another instance.
pub(crate) struct CachedReply {
    /// The request that it answers ([`peer_request_id`]).
    pub(crate) request: RequestId,
    pub(crate) message: PeerMessage,
    pub(crate) tenant: TenantId,
    /// Units granted and not returned.
    pub(crate) units: f64,
}

/// The last replies, to be sent again when their requests come again: a request is decided once.
#[derive(Default)]
pub(crate) struct ReplyCache {
    /// The latest first.
    replies: VecDeque<CachedReply>,
}

impl ReplyCache {
    /// Adds a reply in place of the oldest.
    pub(crate) fn insert(&mut self, reply: CachedReply) {
        self.replies.truncate(CACHED_REPLIES - 1);
        self.replies.push_front(reply);
    }

    /// The reply to that request.
    pub(crate) fn find(&mut self, request: RequestId) -> Option<&mut CachedReply> {
        self.replies
            .iter_mut()
            .find(|reply| reply.request == request)
    }
}
