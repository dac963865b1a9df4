//! The handle through which the limiter's other threads reach the dispatcher.

use crate::clock::Clock;
use crate::event::DispatcherEvent;
use aspendrum_core::api::RequestId;
use aspendrum_net::mailbox::MailboxSender;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Sends events to the dispatcher and assigns request ids.
pub struct DispatcherHandle {
    events: MailboxSender<DispatcherEvent>,
    /// The clock of all times passed to the decision engine.
    pub clock: Clock,
    next_request: AtomicU64,
}

impl DispatcherHandle {
    /// Creates a handle that sends to the given mailbox.
    pub fn new(events: MailboxSender<DispatcherEvent>, clock: Clock) -> DispatcherHandle {
        DispatcherHandle {
            events,
            clock,
            next_request: AtomicU64::new(1),
        }
    }

    /// Returns the id for a new request.
    pub(crate) fn next_request_id(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends an event without blocking. Callers that must not wait for the dispatcher use this, including the
    /// dispatcher itself.
    ///
    /// # Errors
    /// Returns the event if the mailbox is full.
    pub(crate) fn try_send(&self, event: DispatcherEvent) -> Result<(), DispatcherEvent> {
        self.events.try_send(event)
    }

    /// Sends an event, blocking while the mailbox is full. Returns false if the dispatcher has ended.
    pub(crate) fn send(&self, event: DispatcherEvent) -> bool {
        self.events.send(event, None)
    }

    /// Like [`Self::send`], but blocks no longer than until the deadline.
    pub(crate) fn send_by(&self, deadline: Instant, event: DispatcherEvent) -> bool {
        self.events.send(event, Some(deadline))
    }
}
