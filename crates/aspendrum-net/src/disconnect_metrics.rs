//! Metrics of requests whose clients disconnected. They check an invariant: [`REACTION_DEADLINE`] after a disconnect
//! was detected, no request of that client is being sent or waits to be sent, and every idempotent attempt has ended or
//! been aborted.

use crate::forward::{ForwardStage, RequestKind};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The time after the detection of a disconnect from which on the invariant must hold.
pub const REACTION_DEADLINE: Duration = Duration::from_millis(500);

/// The time between two lines in the log.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// The kinds of requests, in the order of their declaration, with the values of their metrics' label.
const KINDS: [(RequestKind, &str); 2] = [
    (RequestKind::Idempotent, "repeatable"),
    (RequestKind::OnceOnly, "once_only"),
];
/// The stages, in the order of their declaration, with the values of their metrics' label.
const STAGES: [(ForwardStage, &str); 4] = [
    (ForwardStage::Waiting, "waiting"),
    (ForwardStage::Connecting, "dialling"),
    (ForwardStage::Sending, "sending"),
    (ForwardStage::AtServer, "at_server"),
];

/// Counters by kind, then by stage.
type Counters = [[AtomicU64; STAGES.len()]; KINDS.len()];

/// The metrics of one process.
#[derive(Default)]
pub struct DisconnectMetrics {
    disconnects: Counters,
    overdue: Counters,
    /// Aborted in time, but not dropped by their servers within [`REACTION_DEADLINE`].
    kept_by_server: Counters,
    sent_late: [AtomicU64; KINDS.len()],
}

impl DisconnectMetrics {
    /// Counts a client that disconnected while its request was at that stage.
    pub fn record_disconnect(&self, kind: RequestKind, stage: ForwardStage) {
        self.disconnects[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// Counts a request that is still at that stage [`REACTION_DEADLINE`] after the disconnect: a violation, unless it
    /// was aborted and its server goes on.
    pub fn record_overdue(&self, kind: RequestKind, stage: ForwardStage, is_aborted: bool) {
        let counters = if is_aborted {
            &self.kept_by_server
        } else {
            &self.overdue
        };
        counters[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// Notes that a request is written to a server so long after its client disconnected, and counts it as a violation
    /// after [`REACTION_DEADLINE`].
    pub fn record_send(&self, kind: RequestKind, time_since_disconnect: Duration) {
        if time_since_disconnect > REACTION_DEADLINE {
            self.sent_late[kind as usize].fetch_add(1, Relaxed);
        }
    }

    /// The disconnects so far.
    pub fn disconnects(&self) -> u64 {
        self.disconnects
            .iter()
            .flatten()
            .map(|counter| counter.load(Relaxed))
            .sum()
    }

    /// The violations of the invariant so far.
    pub fn violations(&self) -> u64 {
        let violations = self.overdue.iter().flatten().chain(&self.sent_late);
        violations.map(|counter| counter.load(Relaxed)).sum()
    }

    /// All metrics that are not 0, as `name{kind="...",stage="..."} number` a line.
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

/// Writes one line in the log for all disconnects of a while.
#[derive(Default)]
pub struct DisconnectReporter {
    reported_at: Option<Instant>,
    disconnects: u64,
    violations: u64,
}

impl DisconnectReporter {
    /// The next line, if a metric has changed and the previous line is long enough ago.
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
