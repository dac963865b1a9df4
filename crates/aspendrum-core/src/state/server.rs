//! What an instance remembers of an upstream server.

use crate::api::{Health, Millis, ServerId};

/// Whether a server is ejected as an outlier.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum EjectionState {
    /// It gets as many requests as its concurrency limit allows.
    #[default]
    Healthy,
    /// It gets only probes.
    Ejected,
    /// It gets one request at a time, to prove that it works.
    Probation,
}

/// An observation of a server's health.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum HealthSample {
    /// A request succeeded.
    Success,
    /// Requests fail or hang.
    Failure,
    /// Probes in a row succeeded.
    ProbesPassed,
}

/// An upstream server as this instance knows it.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) pool: u16,
    pub(crate) health: Health,
    pub(crate) ejection: EjectionState,
    pub(crate) cell: u16,
    pub(crate) zone: u8,
    /// How many times dearer a request is here than nearby; 0: derived from its zone.
    pub(crate) distance_cost: f64,
    /// Capacity in relation to other servers.
    pub(crate) size: f64,
    /// 0: long ago.
    pub(crate) started_at: Millis,
    /// Requests that this instance may have in flight here. Kept between requests as a fraction.
    pub(crate) concurrency_limit: f64,
    pub(crate) in_flight: u32,
    /// Exponentially smoothed response time.
    pub(crate) response_time: Millis,
    /// 0 before the first response.
    pub(crate) last_response_at: Millis,
    /// When it last went from no request in flight to one.
    pub(crate) busy_since: Millis,
    /// Failures since the last success; rejections count for less than one.
    pub(crate) failure_score: f64,
    /// It rejected a request and gets none until then.
    pub(crate) backoff_until: Millis,
    pub(crate) last_probe_at: Millis,
    pub(crate) probe_in_flight: bool,
    /// Successful probes in a row.
    pub(crate) passed_probes: u32,
    /// Doubles with each ejection in a row.
    pub(crate) ejection_time: Millis,
    pub(crate) ejected_at: Millis,
    /// Share of its capacity in use, as it reports; 1 is all.
    pub(crate) reported_load: f64,
    /// Requests that it may be sent during slow start.
    pub(crate) slow_start_tokens: f64,
    pub(crate) slow_start_refilled_at: Millis,
}

impl Server {
    /// Listed as ready and not ejected.
    pub(crate) fn is_serving(&self) -> bool {
        self.health == Health::Ready && self.ejection != EjectionState::Ejected
    }

    /// For how long it has had requests in flight without answering any.
    pub(crate) fn unanswered_for(&self, now: Millis) -> Millis {
        if self.in_flight > 0 {
            now - self.last_response_at.max(self.busy_since)
        } else {
            0.0
        }
    }
}
