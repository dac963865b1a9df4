//! The dispatcher's record of a request in progress.

use crate::event::RequestDecision;
use aspendrum_core::api::ServerId;
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::sync::Arc;

/// An attempt to run a request on a server.
pub(super) struct Attempt {
    pub(super) number: u8,
    pub(super) server: ServerId,
}

/// A request that is not finished or still has an attempt in flight.
pub(super) struct PendingRequest {
    /// Delivers decisions to the request's thread.
    pub(super) decisions: MailboxSender<RequestDecision>,
    /// Cancels attempts of the request.
    pub(super) forward: Arc<ForwardHandle>,
    next_attempt: u8,
    pub(super) in_flight: Option<Attempt>,
    /// Whether the request has its final response or its client has disconnected.
    pub(super) is_finished: bool,
}

impl PendingRequest {
    pub(super) fn new(
        decisions: MailboxSender<RequestDecision>,
        forward: Arc<ForwardHandle>,
    ) -> PendingRequest {
        PendingRequest {
            decisions,
            forward,
            next_attempt: 0,
            in_flight: None,
            is_finished: false,
        }
    }

    /// Starts an attempt and returns its number.
    pub(super) fn start_attempt(&mut self, server: ServerId) -> u8 {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.in_flight = Some(Attempt { number, server });
        number
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_finished && self.in_flight.is_none()
    }
}
