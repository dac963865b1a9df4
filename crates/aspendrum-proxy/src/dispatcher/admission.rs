//! Requests scheduled by the decision engine, and the delivery of decisions to their threads.

use super::configuration::ConfigSnapshot;
use aspendrum_core::api::{Millis, NewRequest, RequestId, ServerId, ZoneSet};
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// A decision on a request.
#[derive(Debug)]
pub enum RequestDecision {
    /// The request is to be sent to a server.
    Forward {
        /// The attempt number, starting at 0.
        attempt: u8,
        /// The server.
        server: ServerId,
    },
    /// The request is rejected.
    Shed {
        /// The delay after which the client may retry, in milliseconds; 0 if unknown.
        retry_after: Millis,
        /// Whether the request exceeds its tenant's quota.
        beyond_quota: bool,
    },
    /// The request cannot be served any more.
    Drop,
    /// The request would be retried, but the retry budget is exhausted.
    RetryBudgetSpent,
    /// The client has disconnected, so no response is needed.
    ClientDisconnected,
}

/// A request to be admitted by the dispatcher.
pub struct AdmissionRequest {
    /// The index of the route in the configuration.
    pub route: usize,
    /// The pool number of the service.
    pub pool: u16,
    /// The index of the tenant in the configuration.
    pub tenant: Option<usize>,
    /// The numbers of the regions whose servers may run the request.
    pub regions: ZoneSet,
    /// The time at which the client stops waiting.
    pub deadline: Instant,
    /// Receives the decisions on the request.
    pub decisions: MailboxSender<RequestDecision>,
    /// Lets other threads observe and abort the request's attempts.
    pub forward_handle: Arc<ForwardHandle>,
}

/// A request whose thread is waiting for decisions.
struct PendingRequest {
    decisions: MailboxSender<RequestDecision>,
    forward_handle: Arc<ForwardHandle>,
    pool: u16,
    attempts: u8,
}

/// The next attempt of a request.
pub(super) struct NextAttempt {
    /// The attempt number, starting at 0.
    pub(super) number: u8,
    pub(super) pool: u16,
}

/// All requests whose threads are waiting for decisions.
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
    next_id: RequestId,
}

impl Default for PendingRequests {
    fn default() -> PendingRequests {
        // The disconnect watcher uses 0 for "no request".
        PendingRequests {
            requests: HashMap::new(),
            next_id: 1,
        }
    }
}

impl PendingRequests {
    /// Returns the id of the next inserted request.
    pub(super) fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// Inserts a request and returns its id.
    pub(super) fn insert(&mut self, request: AdmissionRequest) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let AdmissionRequest {
            decisions,
            forward_handle,
            pool,
            ..
        } = request;
        self.requests.insert(
            id,
            PendingRequest {
                decisions,
                forward_handle,
                pool,
                attempts: 0,
            },
        );
        id
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    pub(super) fn forward_handle(&self, id: RequestId) -> Option<&ForwardHandle> {
        self.requests
            .get(&id)
            .map(|request| &*request.forward_handle)
    }

    /// Starts the next attempt of a request.
    pub(super) fn next_attempt(&mut self, id: RequestId) -> Option<NextAttempt> {
        let request = self.requests.get_mut(&id)?;
        let next = NextAttempt {
            number: request.attempts,
            pool: request.pool,
        };
        request.attempts += 1;
        Some(next)
    }

    /// Sends a decision to a request's thread.
    pub(super) fn notify(&self, id: RequestId, decision: RequestDecision) {
        if let Some(request) = self.requests.get(&id) {
            // A full mailbox means that its thread no longer reads decisions.
            let _ = request.decisions.try_send(decision);
        }
    }
}

/// Returns the request as an event for the decision engine. `quota_divisor` gives this proxy's share of the tenant's
/// quota while the counter does not answer.
pub(super) fn new_request(
    id: RequestId,
    deadline: Millis,
    snapshot: &ConfigSnapshot,
    request: &AdmissionRequest,
    quota_divisor: f32,
) -> NewRequest {
    let tenant = request
        .tenant
        .map(|tenant| snapshot.tenant(tenant))
        .unwrap_or_default();
    let max_attempts = snapshot.config.routes[request.route].max_attempts;
    NewRequest {
        id,
        group: snapshot.group(request.route),
        deadline,
        tenant: tenant.id,
        plan: tenant.plan,
        // The engine divides the quota by this number.
        instances: quota_divisor,
        units: 1.0,
        first_instance: 0.0,
        is_client_retry: false,
        is_write: false,
        pool: request.pool,
        allowed_zones: request.regions,
        max_attempts: max_attempts.min(u32::from(u8::MAX)) as u8,
    }
}
