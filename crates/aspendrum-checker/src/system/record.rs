//! What a run of the whole system leaves behind.

use crate::Millis;
use std::sync::Arc;

/// How an attempt ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// 200, sealed, with the body that a server made for this attempt.
    Answered,
    /// 200 with anything else.
    Foreign,
    /// 408, 421, 429 or 503: a promise that it has not run and never will.
    NotRun(u16),
    /// Any other response.
    OtherStatus(u16),
    /// The connection ended without a whole response.
    Lost,
    /// No connection came up.
    Unreached,
    /// Nothing came until well after the client's deadline.
    Silent,
    /// The client closed the connection without waiting for a response.
    ClientDisconnected,
}

/// One attempt of a client to have a request served.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies it.
    pub id: u64,
    /// Identifies the request: the first attempt at it.
    pub request: u64,
    /// Its route, by the index in the configurations.
    pub route: usize,
    /// Its tenant, by the index in the configurations.
    pub tenant: usize,
    /// The proxy that it was sent to.
    pub proxy: usize,
    /// When it was sent.
    pub sent_at: Millis,
    /// When its client had its response, gave up, or disconnected.
    pub ended_at: Millis,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// An attempt that a server began to work on.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The attempt.
    pub id: u64,
    /// The incarnation of the server.
    pub server_uid: String,
    /// The server's service.
    pub service: String,
    /// The zone that the server is in.
    pub zone: String,
    /// The tenant that the server was told.
    pub tenant: Option<String>,
    /// When it reached the server.
    pub arrived_at: Millis,
    /// When the server began to work on it.
    pub started_at: Millis,
    /// When the server was done with it: at the end of the work, or because the connection closed.
    pub ended_at: Millis,
    /// When the work would have ended by itself.
    pub would_end_at: Millis,
    /// Whether the server drops the work when the connection closes, as most do.
    pub drops_on_close: bool,
}

/// What a configuration says of a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRule {
    /// The service that it leads to.
    pub service: String,
    /// Whether its requests may run once only.
    pub is_once_only: bool,
}

/// What a configuration says of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantRule {
    /// Its name.
    pub name: String,
    /// Whether the credential of its clients is valid.
    pub has_key: bool,
}

/// A configuration, as an operator sent it.
#[derive(Clone, Debug, Default)]
pub struct ConfigVersion {
    /// Its version number.
    pub number: u32,
    /// When it was first sent.
    pub sent_at: Millis,
    /// When it was acknowledged, if it was.
    pub acknowledged_at: Option<Millis>,
    /// The text that was sent. Two operators may have sent two texts with one number.
    pub text: Arc<str>,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All tenants.
    pub tenants: Vec<TenantRule>,
}

impl ConfigVersion {
    /// Whether the credential of the tenant's clients is valid.
    pub(super) fn admits(&self, tenant: usize) -> bool {
        self.tenants.get(tenant).is_some_and(|rule| rule.has_key)
    }

    /// Whether it knows the attempt's route and credential.
    pub(super) fn has(&self, attempt: &Attempt) -> bool {
        self.routes.get(attempt.route).is_some() && self.admits(attempt.tenant)
    }

    /// Whether an attempt may run at that service.
    pub(super) fn allows(&self, attempt: &Attempt, service: &str) -> bool {
        let route = self.routes.get(attempt.route);
        route.is_some_and(|rule| rule.service == service) && self.admits(attempt.tenant)
    }
}

/// A call of an operator.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Sends a configuration.
    Set {
        /// Its version number.
        number: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// Sends a text that is not valid.
    SetInvalid {
        /// Its version number.
        number: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// Reads the newest configuration: what came with a 200; `None`: nothing that can be read.
    Show(Option<ConfigText>),
}

/// A version number, and the text of the configuration under it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigText {
    /// The number.
    pub number: u32,
    /// The text.
    pub text: Arc<str>,
}

/// A call to one control node, and its answer.
#[derive(Clone, Debug)]
pub struct ControlCall {
    /// The control node.
    pub control_node: usize,
    /// When it was sent.
    pub sent_at: Millis,
    /// When the operator had the answer, or gave up.
    pub ended_at: Millis,
    /// What was asked.
    pub call: OperatorCall,
    /// The status of the answer; `None`: there was no whole answer.
    pub status: Option<u16>,
}

/// The statuses after which an operator tries again: request time-out, and too many requests.
const RETRY_STATUSES: [u16; 2] = [408, 429];

impl ControlCall {
    /// Whether it was acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }

    /// Whether it was refused for good, or in a way that its operator may take for that.
    pub fn is_refused(&self) -> bool {
        let is_final = |status| (400..500).contains(&status) && !RETRY_STATUSES.contains(&status);
        self.status.is_some_and(is_final)
    }
}

/// An operator's order about a zone, with all its calls.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The zone.
    pub zone: String,
    /// Whether the evacuation was begun; else it was finished.
    pub is_evacuated: bool,
    /// When its first call was sent.
    pub sent_at: Millis,
    /// When it was acknowledged, if it was.
    pub acknowledged_at: Option<Millis>,
    /// When the operator had the answer, or gave up.
    pub ended_at: Millis,
}

/// A time in which a proxy was faulty, or cut off.
#[derive(Clone, Copy, Debug)]
pub struct ProxyFault {
    /// The proxy; `None`: all of them.
    pub proxy: Option<usize>,
    /// When the fault began.
    pub from: Millis,
    /// When it ended.
    pub to: Millis,
}

impl ProxyFault {
    pub(super) fn overlaps(&self, from: Millis, to: Millis) -> bool {
        self.from <= to && self.to >= from
    }
}

/// A proxy's process was started again.
#[derive(Clone, Copy, Debug)]
pub struct ProxyRestart {
    /// The proxy.
    pub proxy: usize,
    /// When it was told to end, or was killed.
    pub at: Millis,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Requests a second; 0: there is none.
    pub rate: f64,
    /// Requests on top of the rate.
    pub burst: f64,
}

/// The bounds of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleBounds {
    /// A proxy counts as connected so long after a fault.
    pub contact: Millis,
    /// Within this time a configuration is applied.
    pub apply: Millis,
    /// Within this time a removed credential stops working at every proxy, connected or not; `None`: no bound.
    pub revoke: Option<Millis>,
    /// Within this time an evacuated zone receives no more requests.
    pub evac: Millis,
    /// An attempt that is lost within this time, and did not run, does not count.
    pub loss: Millis,
    /// The quota of each tenant.
    pub quota: Quota,
    /// The window in which it is checked.
    pub quota_window: Millis,
    /// The share by which it may be exceeded.
    pub quota_excess: f64,
    /// The requests by which it may be exceeded besides.
    pub quota_slack: f64,
}

/// The record of a run.
#[derive(Clone, Debug)]
pub struct Record {
    /// When the traffic began.
    pub from: Millis,
    /// When the traffic ended.
    pub to: Millis,
    /// The bounds of the rules.
    pub bounds: RuleBounds,
    /// All attempts of clients.
    pub attempts: Vec<Attempt>,
    /// All that servers worked on.
    pub executions: Vec<Execution>,
    /// All configurations that were sent.
    pub versions: Vec<ConfigVersion>,
    /// All orders about zones.
    pub evacuations: Vec<Evacuation>,
    /// All calls of operators, and their answers.
    pub calls: Vec<ControlCall>,
    /// All faults of proxies.
    pub faults: Vec<ProxyFault>,
    /// All restarts of proxies.
    pub restarts: Vec<ProxyRestart>,
    /// The version that the operator read in the end, if there was an answer.
    pub final_version: Option<u32>,
}

impl Record {
    /// Whether every configuration that may have been in force at the time allows the attempt.
    pub fn is_owed(&self, attempt: &Attempt) -> bool {
        let is_applied = |version: &&ConfigVersion| {
            let applied_by = version.acknowledged_at.map(|at| at + self.bounds.apply);
            applied_by.is_some_and(|at| attempt.sent_at > at)
        };
        let applied = self
            .versions
            .iter()
            .filter(is_applied)
            .map(|version| version.number);
        let oldest = applied.max().unwrap_or(0);
        let may_be_in_force = |version: &&ConfigVersion| {
            version.number >= oldest && version.sent_at <= attempt.ended_at
        };
        self.versions
            .iter()
            .filter(may_be_in_force)
            .all(|version| version.has(attempt))
    }

    /// Whether every configuration says that requests of the route may run once only.
    pub(super) fn is_once_only(&self, route: usize) -> bool {
        let is_once_only = |version: &ConfigVersion| {
            version
                .routes
                .get(route)
                .is_some_and(|rule| rule.is_once_only)
        };
        self.versions.iter().all(is_once_only)
    }

    /// Whether the proxy was faulty at any time between those.
    pub fn is_faulty(&self, proxy: usize, from: Millis, to: Millis) -> bool {
        let concerns = |fault: &ProxyFault| fault.proxy.is_none_or(|faulty| faulty == proxy);
        self.faults
            .iter()
            .any(|fault| concerns(fault) && fault.overlaps(from, to))
    }

    /// Whether a fault of all proxies overlaps that time, or had ended so shortly before that they may not be connected.
    pub(super) fn are_all_faulty(&self, from: Millis, to: Millis) -> bool {
        let since = from - self.bounds.contact;
        self.faults
            .iter()
            .any(|fault| fault.proxy.is_none() && fault.overlaps(since, to))
    }
}
