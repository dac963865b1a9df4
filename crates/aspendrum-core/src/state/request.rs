//! What an instance remembers of a request that it decides on.

use crate::api::{Millis, NewRequest, Outcome, RequestId};
use crate::peer_message::PeerMessage;

/// The most attempts of one request.
pub(crate) const MAX_ATTEMPTS: usize = 8;

/// Whether a server may have executed a request, as far as is known.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum ExecutionStatus {
    /// No attempt was made, or each ended in a way that proves that no server executed it.
    NotExecuted,
    /// An attempt ended in a way that leaves it open.
    MayHaveExecuted,
    /// An attempt is in flight.
    InFlight,
}

/// How far a request has come.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum RequestStage {
    /// It is checked against its tenant's quota.
    #[default]
    Admission,
    /// It waits for a server.
    Queued,
    /// A server has it.
    InFlight,
    /// It has its final answer.
    Finished,
}

/// A request sent to a server.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    /// The server's index.
    pub(crate) server: usize,
    pub(crate) sent_at: Millis,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// It has not ended, or not in a way that proves that the server never executed it.
    pub(crate) fn may_have_executed(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

/// Where another instance's quota request came from.
#[derive(Clone, Copy)]
pub(crate) struct PeerOrigin {
    pub(crate) peer: u16,
    /// Identifies the request in the reply.
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
    /// Zones whose servers may execute it, a bit each.
    pub(crate) zones: u64,
    pub(crate) max_attempts: usize,
    /// The tenant's index.
    pub(crate) tenant: usize,
    /// What it costs of the quota.
    pub(crate) units: f64,
    pub(crate) stage: RequestStage,
    /// When it began to wait for what it waits for now.
    pub(crate) waiting_since: Millis,
    /// When its client gives up.
    pub(crate) deadline: Millis,
    /// When its endpoint group's latency target passes.
    pub(crate) target_at: Millis,
    pub(crate) counter_call_in_flight: bool,
    /// Of the counter call that asks for it, the units of this request.
    pub(crate) counted_units: f64,
    pub(crate) within_quota: bool,
    pub(crate) is_streaming: bool,
    attempts: [Attempt; MAX_ATTEMPTS],
    attempt_count: usize,
    /// What its answer is worth; the queue's order.
    pub(crate) priority: f64,
    /// The instance that decides on its quota, or has.
    pub(crate) quota_owner: Option<u16>,
    /// What that instance was asked. Asked again in the same bytes, since a transfer of tokens
    /// counts once.
    pub(crate) message_to_owner: Option<PeerMessage>,
    /// Set where this is another instance's request for quota.
    pub(crate) peer_origin: Option<PeerOrigin>,
    /// `message_to_owner` was sent a second time.
    pub(crate) repeated_to_owner: bool,
    /// Its units have been taken out of this instance's share of the rate limit.
    pub(crate) rate_limit_charged: bool,
    /// Its units are to come out of the owner's share of the rate limit too.
    pub(crate) charges_owner_rate_limit: bool,
}

impl Request {
    /// A client's request of the tenant with that index.
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

    /// Another instance's request for units of a tenant's quota, which goes to no server and has no
    /// deadline.
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

    /// What is known of its attempts as a whole.
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

    /// Its attempts, the first one first.
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

    /// Ends the attempt of that number. False if there is none or it has ended before.
    pub(crate) fn end_attempt(&mut self, number: usize, outcome: Outcome) -> bool {
        number < self.attempt_count && self.attempts[number].outcome.replace(outcome).is_none()
    }
}
