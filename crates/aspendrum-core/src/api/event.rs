//! Events: the input of the engine.

use super::{ListKind, LoadReport, Millis, RequestId, ServerEntry, ServerId, TenantId};

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It was answered with an error.
    Error,
    /// It was rejected for want of capacity, and not executed.
    Rejected,
    /// No answer came in time; it may have been executed.
    TimedOut,
    /// No connection could be opened; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// It was cancelled; it may have been executed.
    Cancelled,
    /// It was never sent, for no fault of the server.
    NotSent,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its id, not in use by another request.
    pub id: RequestId,
    /// The index of its endpoint group.
    pub group: u16,
    /// When its client gives up.
    pub deadline: Millis,
    /// Whose request it is.
    pub tenant: TenantId,
    /// The index of the tenant's plan.
    pub plan: u32,
    /// How many instances the tenant's requests come through.
    pub instances: f32,
    /// What it costs of the tenant's quota.
    pub units: f32,
    /// The number of the first of the tenant's instances; the others follow it.
    pub first_instance: f32,
    /// Its client marks it as one that it sent before.
    pub is_client_retry: bool,
    /// It changes something.
    pub is_write: bool,
    /// The pool whose servers may execute it.
    pub pool: u16,
    /// Zones whose servers may execute it, a bit each; all where it does not matter.
    pub allowed_zones: u64,
    /// Servers to which it may be sent, one after another.
    pub max_attempts: u8,
}

/// Something happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery's list of servers.
    ServerList {
        /// What the list holds.
        list: ListKind,
        /// Its version.
        version: u32,
        /// Its servers.
        entries: &'a [ServerEntry],
    },
    /// A client's request came in. It is to have one final answer.
    Request(NewRequest),
    /// An attempt that [`Action::Forward`](super::Action::Forward) asked for ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request, from 0 on.
        forward: u8,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        rtt: Millis,
        /// The request is over, by this outcome or earlier.
        is_final: bool,
        /// 1 and the tenant's use as a percentage of its rate, where servers meter it; else 0.
        metered: u16,
        /// What the request really cost, where that is known after execution.
        actual_units: u16,
        /// The server's load report.
        load: LoadReport,
    },
    /// A server began to stream its response.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        forward: u8,
        /// The server.
        server: ServerId,
        /// The time since the attempt was sent.
        rtt: Millis,
    },
    /// A client left. No answer is owed any more.
    ClientDisconnected {
        /// Its request.
        id: RequestId,
    },
    /// A call of the shared counter ended.
    CounterReplied {
        /// The name that was added to.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// The name's total with what was added, if it succeeded.
        total: f32,
        /// The time since the call was made.
        rtt: Millis,
    },
    /// A probe of a server ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        rtt: Millis,
        /// The server's load report.
        load: LoadReport,
    },
    /// A datagram came from another instance.
    DatagramReceived {
        /// The number of that instance.
        from: u16,
        /// Its bytes, see [`crate::peer_message`].
        data: &'a [u8],
    },
    /// A timer that [`Action::Timer`](super::Action::Timer) asked for is due.
    Timer {
        /// Which.
        token: u32,
    },
}
