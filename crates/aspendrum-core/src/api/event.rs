//! Events, the input of the engine.

use super::{ListKind, LoadReport, Millis, RequestId, ServerEntry, ServerId, TenantId, ZoneSet};

/// The outcome of an attempt, a probe or a counter call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// The answer was an error.
    Error,
    /// It was rejected due to a lack of capacity, and not executed.
    Rejected,
    /// It timed out; it may have been executed.
    TimedOut,
    /// The server took no byte of it, or refused it as meant for another server; it was not executed.
    ConnectFailed,
    /// The connection was lost; it may have been executed.
    Reset,
    /// It was cancelled; it may have been executed.
    Cancelled,
    /// It was never sent, for a reason unrelated to the server.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the server did not execute the request. Only then may a request that must not run
    /// twice be sent to another server, or be answered with a promise that it has not run.
    pub fn excludes_execution(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// The request's id, which no open request may have.
    pub id: RequestId,
    /// The index of its endpoint group.
    pub group: u16,
    /// When its client stops waiting for an answer.
    pub deadline: Millis,
    /// The tenant that the request belongs to.
    pub tenant: TenantId,
    /// The index of the tenant's plan.
    pub plan: u32,
    /// The number of instances that receive the tenant's requests. The quota is divided by this
    /// number; a proxy passes its own divisor.
    pub instances: f32,
    /// Its cost in units of the tenant's quota.
    pub units: f32,
    /// The number of the first of the tenant's instances; the others follow consecutively.
    pub first_instance: f32,
    /// The client marked it as a retry.
    pub is_client_retry: bool,
    /// It modifies data.
    pub is_write: bool,
    /// The pool whose servers may execute it.
    pub pool: u16,
    /// The zones whose servers may execute it; [`ZoneSet::ALL`] if there is no restriction.
    pub allowed_zones: ZoneSet,
    /// The maximum number of attempts.
    pub max_attempts: u8,
}

/// An event for the engine to handle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A server list from discovery.
    ServerList {
        /// The kind of the list.
        list: ListKind,
        /// Its version.
        version: u32,
        /// The listed servers.
        entries: &'a [ServerEntry],
    },
    /// A client's request was received. It gets one final answer.
    Request(NewRequest),
    /// An attempt started by [`Action::Forward`](super::Action::Forward) ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request, from 0 on.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// The time since the attempt was sent.
        rtt: Millis,
        /// The request is complete, due to this outcome or since before.
        is_final: bool,
        /// The tenant's usage in percent of its rate, plus 1, if servers meter it; otherwise 0.
        metered_usage: u16,
        /// The request's actual cost, if it is known after execution.
        actual_units: u16,
        /// The server's load report.
        load: LoadReport,
    },
    /// A server started to stream its response.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// The time since the attempt was sent.
        rtt: Millis,
    },
    /// A client disconnected. Its request needs no answer any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A call of the shared counter ended.
    CounterReplied {
        /// The name to which units were added.
        name: u64,
        /// The outcome.
        outcome: Outcome,
        /// The name's total including the added units, if the call succeeded.
        total: f32,
        /// The time since the call was made.
        rtt: Millis,
    },
    /// A probe of a server ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// The time since the probe was sent.
        rtt: Millis,
        /// The server's load report.
        load: LoadReport,
    },
    /// A datagram was received from another instance.
    DatagramReceived {
        /// The number of that instance.
        from: u16,
        /// The content, see [`crate::peer_message`].
        data: &'a [u8],
    },
    /// A timer requested by [`Action::Timer`](super::Action::Timer) has expired.
    Timer {
        /// The token of the timer.
        token: u32,
    },
}
