//! What became of requests whose clients had left, in numbers, and the invariant: half a second after a client's close
//! was heard nothing is sent on for it, nothing waits to be, and no run that may be repeated is still under way because
//! nobody broke it off.

use crate::forward::{ForwardStage, RequestKind};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The invariant's bound, from the moment a close was heard.
pub const BOUND: Duration = Duration::from_millis(500);

/// Between two lines in the log.
const REPORT_EVERY: Duration = Duration::from_millis(1000);

const KINDS: [(RequestKind, &str); 2] = [
    (RequestKind::Idempotent, "repeatable"),
    (RequestKind::OnceOnly, "once_only"),
];
const STAGES: [(ForwardStage, &str); 4] = [
    (ForwardStage::Waiting, "waiting"),
    (ForwardStage::Dialling, "dialling"),
    (ForwardStage::Sending, "sending"),
    (ForwardStage::AtServer, "at_server"),
];

/// Counters by kind, then by stage.
type Counters = [[AtomicU64; STAGES.len()]; KINDS.len()];

/// All of one process.
#[derive(Default)]
pub struct DisconnectMetrics {
    heard: Counters,
    overdue: Counters,
    /// Broken off in time, and their servers have not dropped them by [`BOUND`].
    kept_on: Counters,
    sent_late: [AtomicU64; KINDS.len()],
}

impl DisconnectMetrics {
    /// A client has left while its request was at that stage.
    pub fn record_disconnect(&self, kind: RequestKind, stage: ForwardStage) {
        self.heard[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// [`BOUND`] after the departure the request is still at that stage: a violation, unless it is broken off there and
    /// its server works on.
    pub fn record_overdue(&self, kind: RequestKind, stage: ForwardStage, broken_off: bool) {
        let counters = if broken_off {
            &self.kept_on
        } else {
            &self.overdue
        };
        counters[kind as usize][stage as usize].fetch_add(1, Relaxed);
    }

    /// A request is written to a server so long after its client's departure: a violation behind [`BOUND`].
    pub fn record_sent_late(&self, kind: RequestKind, left_for: Duration) {
        if left_for > BOUND {
            self.sent_late[kind as usize].fetch_add(1, Relaxed);
        }
    }

    /// Departures so far.
    pub fn departures(&self) -> u64 {
        self.heard.iter().flatten().map(|n| n.load(Relaxed)).sum()
    }

    /// Violations of the invariant so far.
    pub fn violations(&self) -> u64 {
        self.overdue
            .iter()
            .flatten()
            .chain(&self.sent_late)
            .map(|n| n.load(Relaxed))
            .sum()
    }

    /// All that is not 0, as `name{kind="...",stage="..."} number` a line.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let all = [
            ("departures_heard", &self.heard),
            ("departures_overdue", &self.overdue),
            ("departures_server_kept_on", &self.kept_on),
        ];
        for (name, counters) in all {
            for (kind, kind_name) in KINDS {
                for (stage, stage_name) in STAGES {
                    let labels = format!("kind=\"{kind_name}\",stage=\"{stage_name}\"");
                    line(
                        &mut out,
                        name,
                        &labels,
                        &counters[kind as usize][stage as usize],
                    );
                }
            }
        }
        for (kind, kind_name) in KINDS {
            line(
                &mut out,
                "departures_sent_late",
                &format!("kind=\"{kind_name}\""),
                &self.sent_late[kind as usize],
            );
        }
        out
    }
}

fn line(out: &mut String, name: &str, labels: &str, counter: &AtomicU64) {
    let count = counter.load(Relaxed);
    if count > 0 {
        // Writing to memory does not fail.
        let _ = writeln!(out, "{name}{{{labels}}} {count}");
    }
}

/// One line in the log for all departures of a while.
#[derive(Default)]
pub struct DisconnectReporter {
    told_at: Option<Instant>,
    departures: u64,
    violations: u64,
}

impl DisconnectReporter {
    /// The line, where there is something new and the last one is long enough ago.
    pub fn line(&mut self, figures: &DisconnectMetrics) -> Option<String> {
        let (departures, violations) = (figures.departures(), figures.violations());
        let news = departures > self.departures || violations > self.violations;
        if !news || self.told_at.is_some_and(|at| at.elapsed() < REPORT_EVERY) {
            return None;
        }
        *self = DisconnectReporter {
            told_at: Some(Instant::now()),
            departures,
            violations,
        };
        let text = figures.text().replace('"', "").replace('\n', " ");
        Some(format!(
            "event=clients_left departures={departures} violations={violations} {text}"
        ))
    }
}
