//! Metrics of requests whose clients disconnected. They verify an invariant: [`REACTION_DEADLINE`] after a disconnect
//! was detected, no request of that client is being sent or is waiting to be sent, and every idempotent attempt has
//! ended or been aborted.

use crate::forward::{ForwardStage, RequestKind};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The time after the detection of a disconnect within which the invariant must be restored.
pub const REACTION_DEADLINE: Duration = Duration::from_millis(500);

/// The minimum interval between log lines.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// The request kinds in declaration order, with their metric label values.
const KINDS: [(RequestKind, &str); 2] = [
    (RequestKind::Idempotent, "repeatable"),
    (RequestKind::NonIdempotent, "once_only"),
];
/// The stages in declaration order, with their metric label values.
const STAGES: [(ForwardStage, &str); 4] = [
    (ForwardStage::Waiting, "waiting"),
    (ForwardStage::Connecting, "dialling"),
    (ForwardStage::Sending, "sending"),
    (ForwardStage::AtServer, "at_server"),
];

/// Counters, indexed by kind and stage.
type Counters = [[AtomicU64; STAGES.len()]; KINDS.len()];

/// The disconnect metrics of a process.
#[derive(Default)]
pub struct DisconnectMetrics {
    disconnects: Counters,
    overdue: Counters,
    /// Requests that were aborted in time but not dropped by their servers within [`REACTION_DEADLINE`].
    kept_by_server: Counters,
    sent_late: [AtomicU64; KINDS.len()],
}

impl DisconnectMetrics {
    /// Counts a client that disconnected while its request was at the given stage.
    pub fn record_disconnect(&self, kind: RequestKind, stage: ForwardStage) {
        self.disconnects[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// Counts a request that is still at the given stage [`REACTION_DEADLINE`] after the disconnect. This is a
    /// violation unless the request was aborted and its server continues to execute it.
    pub fn record_overdue(&self, kind: RequestKind, stage: ForwardStage, is_aborted: bool) {
        let counters = if is_aborted {
            &self.kept_by_server
        } else {
            &self.overdue
        };
        counters[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// Counts a violation if a request is sent to a server more than [`REACTION_DEADLINE`] after its client
    /// disconnected.
    pub fn record_send(&self, kind: RequestKind, time_since_disconnect: Duration) {
        if time_since_disconnect > REACTION_DEADLINE {
            self.sent_late[kind as usize].fetch_add(1, Relaxed);
        }
    }

    /// Returns the total number of disconnects.
    pub fn disconnects(&self) -> u64 {
        self.disconnects
            .iter()
            .flatten()
            .map(|counter| counter.load(Relaxed))
            .sum()
    }

    /// Returns the total number of violations of the invariant.
    pub fn violations(&self) -> u64 {
        let violations = self.overdue.iter().flatten().chain(&self.sent_late);
        violations.map(|counter| counter.load(Relaxed)).sum()
    }

    /// Formats all nonzero metrics, one per line, as `name{kind="...",stage="..."} value`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let all = [
            ("departures_heard", &self.disconnects),
            ("departures_overdue", &self.overdue),
            ("departures_server_kept_on", &self.kept_by_server),
        ];
        for (name, counters) in all {
            for (kind, kind_label) in KINDS {
                for (stage, stage_label) in STAGES {
                    let labels = format!("kind=\"{kind_label}\",stage=\"{stage_label}\"");
                    write_metric(
                        &mut text,
                        name,
                        &labels,
                        &counters[kind as usize][stage as usize],
                    );
                }
            }
        }
        for (kind, kind_label) in KINDS {
            let labels = format!("kind=\"{kind_label}\"");
            write_metric(
                &mut text,
                "departures_sent_late",
                &labels,
                &self.sent_late[kind as usize],
            );
        }
        text
    }
}

fn write_metric(text: &mut String, name: &str, labels: &str, counter: &AtomicU64) {
    let count = counter.load(Relaxed);
    if count > 0 {
        // Writing to memory does not fail.
        let _ = writeln!(text, "{name}{{{labels}}} {count}");
    }
}

/// Produces rate-limited log lines about disconnects.
#[derive(Default)]
pub struct DisconnectReporter {
    reported_at: Option<Instant>,
    disconnects: u64,
    violations: u64,
}

impl DisconnectReporter {
    /// Returns the next log line if a metric has changed and [`REPORT_INTERVAL`] has passed since the previous line.
    pub fn next_line(&mut self, metrics: &DisconnectMetrics) -> Option<String> {
        let (disconnects, violations) = (metrics.disconnects(), metrics.violations());
        let has_changed = disconnects > self.disconnects || violations > self.violations;
        if !has_changed
            || self
                .reported_at
                .is_some_and(|at| at.elapsed() < REPORT_INTERVAL)
        {
            return None;
        }
        *self = DisconnectReporter {
            reported_at: Some(Instant::now()),
            disconnects,
            violations,
        };
        let text = metrics.text().replace('"', "").replace('\n', " ");
        Some(format!(
            "event=clients_left departures={disconnects} violations={violations} {text}"
        ))
    }
}
