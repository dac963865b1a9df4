//! The open client sessions and the transactions in progress.

use crate::client_session::{ClientSession, SessionState};
use crate::limits::ClientLimits;
use aspendrum_net::threads::lock;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// Whether one more connection can be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Capacity {
    Available,
    /// Connections that have not had a request may soon be old enough to be closed.
    SoonAvailable,
    Exhausted,
}

/// The number of a session.
pub(crate) type SessionId = u64;

/// The open sessions.
#[derive(Default)]
pub(crate) struct Sessions {
    open: Mutex<HashMap<SessionId, Arc<ClientSession>>>,
    transactions: Mutex<HashSet<Vec<u8>>>,
}

impl Sessions {
    fn open(&self) -> MutexGuard<'_, HashMap<SessionId, Arc<ClientSession>>> {
        lock(&self.open)
    }

    pub(crate) fn count(&self) -> usize {
        self.open().len()
    }

    pub(crate) fn add(&self, id: SessionId, session: Arc<ClientSession>) {
        self.open().insert(id, session);
    }

    pub(crate) fn remove(&self, id: SessionId) {
        self.open().remove(&id);
    }

    /// Returns the sessions with a request in progress.
    pub(crate) fn with_request(&self) -> Vec<Arc<ClientSession>> {
        let open = self.open();
        open.values()
            .filter(|session| session.connection.request().is_some())
            .cloned()
            .collect()
    }

    /// Returns whether one more connection can be served, closing an idle session if necessary.
    pub(crate) fn make_capacity(&self, now_ms: u64, limits: &ClientLimits) -> Capacity {
        let count = self.count();
        if count < limits.max_connections {
            return Capacity::Available;
        }
        // Sessions closed a moment ago still hold their file descriptors.
        if count >= limits.max_connections + limits.overflow / 2 {
            return Capacity::SoonAvailable;
        }
        self.close_idle(now_ms, limits)
    }

    /// Closes the oldest session that has not had a request, or else the session that has been idle for longest.
    ///
    /// A session is not closed while its client may be about to send a request: sessions without a request have a
    /// minimum age, the others a minimum idle time. That idle time is longer while there are sessions without a
    /// request.
    pub(crate) fn close_idle(&self, now_ms: u64, limits: &ClientLimits) -> Capacity {
        let open = self.open();
        let idle = || {
            open.values()
                .filter(|session| session.is_in(SessionState::Idle))
        };
        let unused = idle().filter(|session| !session.has_had_request());
        let unused = unused.max_by_key(|session| session.age(now_ms));
        let used = idle().filter(|session| session.has_had_request());
        let used = used.max_by_key(|session| session.idle_time(now_ms));
        let min_idle = if unused.is_some() {
            limits.min_idle_with_unused
        } else {
            limits.min_idle
        };
        let closable = unused
            .filter(|session| session.age(now_ms) >= limits.min_unused_age)
            .or(used.filter(|session| session.idle_time(now_ms) >= min_idle));
        if closable.is_some_and(|session| session.close_if_idle()) {
            return Capacity::Available;
        }
        if unused.is_some() {
            Capacity::SoonAvailable
        } else {
            Capacity::Exhausted
        }
    }

    /// Reserves a transaction id until the returned claim is dropped. Returns `None` if a request with the same id is
    /// in progress, because servers could confuse the two requests.
    pub(crate) fn claim_transaction(&self, id: &[u8]) -> Option<TransactionClaim<'_>> {
        let is_new = lock(&self.transactions).insert(id.to_vec());
        is_new.then(|| TransactionClaim {
            sessions: self,
            id: id.to_vec(),
        })
    }
}

/// The reservation of a transaction id.
pub(crate) struct TransactionClaim<'s> {
    sessions: &'s Sessions,
    id: Vec<u8>,
}

impl Drop for TransactionClaim<'_> {
    fn drop(&mut self) {
        lock(&self.sessions.transactions).remove(&self.id);
    }
}
