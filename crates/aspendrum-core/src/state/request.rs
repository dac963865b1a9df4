//! The state of an open request.

use crate::api::{Millis, NewRequest, Outcome, RequestId, ZoneSet};
use crate::peer_message::PeerMessage;

/// The maximum number of attempts per request.
pub(crate) const MAX_ATTEMPTS: usize = 8;

/// Whether a server may have executed a request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum ExecutionStatus {
    /// No attempt was made, or the outcome of each proves that no server executed the request.
    NotExecuted,
    /// The outcome of an attempt does not exclude that a server executed the request.
    MayHaveExecuted,
    /// An attempt is in flight.
    InFlight,
}

/// The stage of processing of a request.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum RequestStage {
    /// The decision on its tenant's quota is pending.
    #[default]
    Admission,
    /// It waits for a server.
    Queued,
    /// It was sent to a server.
    InFlight,
    /// It has its final answer or needs none.
    Finished,
}

/// One attempt to have a server execute a request.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    /// The server's index.
    pub(crate) server: usize,
    pub(crate) sent_at: Millis,
    /// `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the server may have executed the attempt: it is in flight, or its outcome does not
    /// exclude an execution.
    pub(crate) fn may_have_executed(&self) -> bool {
        !self.outcome.is_some_and(Outcome::excludes_execution)
    }
}

/// The origin of another instance's quota request.
#[derive(Clone, Copy)]
pub(crate) struct PeerOrigin {
    pub(crate) peer: u16,
    /// The sequence number that identifies the request in the reply.
    pub(crate) sequence: u16,
}

/// A client's request, or another instance's request for quota.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// The endpoint group's index in the settings.
    pub(crate) group: usize,
    /// The pool whose servers may execute it.
    pub(crate) pool: u16,
    /// The zones whose servers may execute it.
    pub(crate) zones: ZoneSet,
    pub(crate) max_attempts: usize,
    /// The tenant's index.
    pub(crate) tenant: usize,
    /// Its cost in units of the quota.
    pub(crate) units: f64,
    pub(crate) stage: RequestStage,
    /// When the current wait began.
    pub(crate) waiting_since: Millis,
    /// When its client stops waiting for an answer.
    pub(crate) deadline: Millis,
    /// When the latency target of its endpoint group is exceeded.
    pub(crate) target_at: Millis,
    pub(crate) counter_call_in_flight: bool,
    /// The units of this request that are included in its counter call.
    pub(crate) counted_units: f64,
    pub(crate) within_quota: bool,
    pub(crate) is_streaming: bool,
    attempts: [Attempt; MAX_ATTEMPTS],
    attempt_count: usize,
    /// The value of its response, which determines the order in the queue.
    pub(crate) priority: f64,
    /// The other instance that decides on its quota, or has decided on it.
    pub(crate) quota_owner: Option<u16>,
    /// The message sent to that instance. A retransmission has the same bytes, so that a transfer
    /// of tokens in it is counted once.
    pub(crate) message_to_owner: Option<PeerMessage>,
    /// Set if this is a quota request of another instance.
    pub(crate) peer_origin: Option<PeerOrigin>,
    /// `message_to_owner` has been retransmitted.
    pub(crate) retransmitted_to_owner: bool,
    /// Its units were charged to this instance's share of the rate limit.
    pub(crate) rate_limit_charged: bool,
    /// Its units must also be charged to the owner's share of the rate limit.
    pub(crate) charges_owner_rate_limit: bool,
}

impl Request {
    /// Creates the state of a client's request. `tenant` is the tenant's index.
    pub(crate) fn new(new: &NewRequest, tenant: usize, now: Millis) -> Self {
        Request {
            id: new.id,
            group: usize::from(new.group),
            pool: new.pool,
            zones: new.allowed_zones,
            max_attempts: usize::from(new.max_attempts),
            tenant,
            units: f64::from(new.units).max(0.0),
            waiting_since: now,
            deadline: new.deadline,
            within_quota: true,
            ..Request::default()
        }
    }

    /// Creates the state of another instance's quota request, which is not sent to any server and
    /// has no deadline.
    pub(crate) fn from_peer(id: RequestId, origin: PeerOrigin, tenant: usize, units: f64) -> Self {
        Request {
            id,
            tenant,
            units,
            deadline: f64::INFINITY,
            peer_origin: Some(origin),
            ..Request::default()
        }
    }

    /// Returns the execution status over all attempts.
    pub(crate) fn execution_status(&self) -> ExecutionStatus {
        let in_flight = self
            .attempts()
            .iter()
            .any(|attempt| attempt.outcome.is_none());
        let may_have_executed = self.attempts().iter().any(Attempt::may_have_executed);
        match (in_flight, may_have_executed) {
            (true, _) => ExecutionStatus::InFlight,
            (_, true) => ExecutionStatus::MayHaveExecuted,
            _ => ExecutionStatus::NotExecuted,
        }
    }

    /// Returns the attempts in the order in which they were sent.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts[..self.attempt_count]
    }

    /// Adds an attempt; there must be fewer than [`MAX_ATTEMPTS`].
    pub(crate) fn push_attempt(&mut self, server: usize, now: Millis) {
        self.attempts[self.attempt_count] = Attempt {
            server,
            sent_at: now,
            outcome: None,
        };
        self.attempt_count += 1;
    }

    /// Records the outcome of an attempt. Returns false if the attempt does not exist or has
    /// already ended.
    pub(crate) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> bool {
        number < self.attempt_count && self.attempts[number].outcome.replace(outcome).is_none()
    }
}
