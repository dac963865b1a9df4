//! How the limiter's threads reach the dispatcher.

use crate::clock::Clock;
use crate::event::DispatcherEvent;
use aspendrum_core::api::RequestId;
use aspendrum_net::mailbox::MailboxSender;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Sends events to the dispatcher, and numbers requests for it.
pub struct DispatcherHandle {
    events: MailboxSender<DispatcherEvent>,
    /// The clock of all times that the decision engine sees.
    pub clock: Clock,
    next_request: AtomicU64,
}

impl DispatcherHandle {
    /// A handle that sends to this mailbox.
    pub fn new(events: MailboxSender<DispatcherEvent>, clock: Clock) -> DispatcherHandle {
        DispatcherHandle {
            events,
            clock,
            next_request: AtomicU64::new(1),
        }
    }

    /// The id of a new request.
    pub(crate) fn next_request_id(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// For callers that must not wait for the dispatcher, the dispatcher itself among them.
    ///
    /// # Errors
    /// The event, if its mailbox is full.
    pub(crate) fn try_send(&self, event: DispatcherEvent) -> Result<(), DispatcherEvent> {
        self.events.try_send(event)
    }

    /// Waits until the mailbox has room, which it soon has. Returns false if there is no dispatcher any more.
    pub(crate) fn send(&self, event: DispatcherEvent) -> bool {
        self.events.send(event, None)
    }

    /// The same, but not beyond the deadline.
    pub(crate) fn send_by(&self, deadline: Instant, event: DispatcherEvent) -> bool {
        self.events.send(event, Some(deadline))
    }
}
