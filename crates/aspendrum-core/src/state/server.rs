//! The state kept about an upstream server.

use crate::api::{Health, Millis, ServerId};

/// Whether a server is ejected as an outlier.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum EjectionState {
    /// It gets requests up to its concurrency limit.
    #[default]
    Healthy,
    /// It gets no requests, only probes.
    Ejected,
    /// It gets one request at a time until one succeeds.
    Probation,
}

/// An observation of a server's health.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum HealthSample {
    /// A request succeeded.
    Success,
    /// Requests failed or hung.
    Failure,
    /// The required number of consecutive probes succeeded.
    ProbesPassed,
}

/// An upstream server, as observed by this instance.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) pool: u16,
    pub(crate) health: Health,
    pub(crate) ejection: EjectionState,
    pub(crate) cell: u16,
    pub(crate) zone: u8,
    /// The cost of a request to it, relative to a nearby server; 0: derived from its zone.
    pub(crate) distance_cost: f64,
    /// Its capacity relative to other servers.
    pub(crate) size: f64,
    /// 0 if it started long ago.
    pub(crate) started_at: Millis,
    /// The number of requests that this instance may have in flight at the server. May be
    /// fractional.
    pub(crate) concurrency_limit: f64,
    pub(crate) in_flight: u32,
    /// Exponentially smoothed response time.
    pub(crate) response_time: Millis,
    /// 0 before the first response.
    pub(crate) last_response_at: Millis,
    /// When it last changed from idle to one request in flight.
    pub(crate) busy_since: Millis,
    /// The weighted number of failures since the last success; a rejection counts less than a
    /// failure.
    pub(crate) failure_score: f64,
    /// After a rejection, it gets no requests until then.
    pub(crate) backoff_until: Millis,
    pub(crate) last_probe_at: Millis,
    pub(crate) probe_in_flight: bool,
    /// The number of consecutive successful probes.
    pub(crate) passed_probes: u32,
    /// The duration of the last ejection. Doubles with each consecutive ejection.
    pub(crate) ejection_time: Millis,
    pub(crate) ejected_at: Millis,
    /// The utilization that it reports; 1 is its full capacity.
    pub(crate) reported_load: f64,
    /// The number of requests that it may be sent during slow start.
    pub(crate) slow_start_tokens: f64,
    pub(crate) slow_start_refilled_at: Millis,
}

impl Server {
    /// Whether the server is listed as ready and is not ejected.
    pub(crate) fn is_serving(&self) -> bool {
        self.health == Health::Ready && self.ejection != EjectionState::Ejected
    }

    /// Returns how long the server has had requests in flight without answering any.
    pub(crate) fn unanswered_for(&self, now: Millis) -> Millis {
        if self.in_flight > 0 {
            now - self.last_response_at.max(self.busy_since)
        } else {
            0.0
        }
    }
}
