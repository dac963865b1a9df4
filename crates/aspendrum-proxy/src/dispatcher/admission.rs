//! Requests that the decision engine decides of, and how their threads learn of its decisions.

use super::configuration::ConfigSnapshot;
use aspendrum_core::api::{Millis, NewRequest, RequestId, ServerId};
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// What is decided of a request.
#[derive(Debug)]
pub enum RequestDecision {
    /// It is to be sent to that server.
    Forward {
        /// The number of this attempt, from 0.
        attempt: u8,
        /// The server.
        server: ServerId,
    },
    /// It is rejected.
    Shed {
        /// When its client may come again; 0: not known.
        retry_after: Millis,
        /// It is beyond its tenant's quota.
        beyond_quota: bool,
    },
    /// Nothing more can be done for it.
    Drop,
    /// It would be retried, and the budget of retries is spent.
    RetryBudgetSpent,
    /// Its client has left: there is nobody to answer.
    ClientDisconnected,
}

/// A request, as the dispatcher needs it.
pub struct AdmissionRequest {
    /// The number of its route in the configuration.
    pub route: usize,
    /// The number of its service's pool.
    pub pool: u16,
    /// The number of its tenant in the configuration.
    pub tenant: Option<usize>,
    /// Regions whose servers may run it, a bit each.
    pub regions: u64,
    /// When its client gives up.
    pub deadline: Instant,
    /// Takes the decisions on it.
    pub decisions: MailboxSender<RequestDecision>,
    /// Its attempts, as other threads see them.
    pub forward_handle: Arc<ForwardHandle>,
}

/// A request whose thread waits for decisions.
struct PendingRequest {
    decisions: MailboxSender<RequestDecision>,
    forward_handle: Arc<ForwardHandle>,
    pool: u16,
    attempts: u8,
}

/// The next attempt of a request.
pub(super) struct NextAttempt {
    /// Its number, from 0.
    pub(super) number: u8,
    pub(super) pool: u16,
}

/// All requests whose threads wait for decisions.
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
    /// The number that the next request gets.
    pub(super) fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// Enters a request under the next number.
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

    /// Counts one more attempt of a request.
    pub(super) fn next_attempt(&mut self, id: RequestId) -> Option<NextAttempt> {
        let request = self.requests.get_mut(&id)?;
        let next = NextAttempt {
            number: request.attempts,
            pool: request.pool,
        };
        request.attempts += 1;
        Some(next)
    }

    /// Tells a request's thread of a decision.
    pub(super) fn notify(&self, id: RequestId, decision: RequestDecision) {
        if let Some(request) = self.requests.get(&id) {
            // A full mailbox means that nobody reads decisions there any more.
            let _ = request.decisions.try_send(decision);
        }
    }
}

/// The request as an event for the decision engine. `quota_sharers`: among so many the tenant's quota is divided while its
/// counter does not answer.
pub(super) fn new_request(
    id: RequestId,
    deadline: Millis,
    snapshot: &ConfigSnapshot,
    request: &AdmissionRequest,
    quota_sharers: f32,
) -> NewRequest {
    let tenant = request
        .tenant
        .map(|tenant| snapshot.tenant(tenant))
        .unwrap_or_default();
    let tries = snapshot.config.routes[request.route].max_attempts;
    NewRequest {
        id,
        group: snapshot.group(request.route),
        deadline,
        tenant: tenant.id,
        plan: tenant.plan,
        instances: quota_sharers,
        units: 1.0,
        first_instance: 0.0,
        is_client_retry: false,
        is_write: false,
        pool: request.pool,
        allowed_zones: request.regions,
        max_attempts: tries.min(u32::from(u8::MAX)) as u8,
    }
}
