//! The connection of the proxy, as the coordinator sees it.

use super::desired_state::{DesiredState, CONFIG, EVACUATED};
use aspendrum_model::message::{FromControl, Readiness, StateDigest, StateSection};
use aspendrum_net::frames::Link;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, Repair, RepairStep, ReportValidity, Section,
    SyncAssessment, UpdateStream,
};
use std::net::SocketAddrV4;

/// Time-out of the proxy: without a heartbeat within this time it counts as not ready.
const SILENT_AFTER: Millis = 900.0;

/// Who the proxy says that it is.
pub(super) struct ProxyIdentity {
    /// The name of its host.
    pub(super) host: String,
    /// Where clients reach it.
    pub(super) address: SocketAddrV4,
}

/// The connection of the proxy; the last one stays known after its end.
pub(super) struct ProxySession {
    pub(super) id: u64,
    pub(super) link: Link,
    /// Known once the proxy has said it; nothing is sent to it before.
    pub(super) identity: Option<ProxyIdentity>,
    pub(super) last_received_at: Millis,
    /// What is in force there, computed from its tables.
    pub(super) applied: StateDigest,
    /// The updates on this connection.
    updates: UpdateStream,
    pub(super) is_disconnected: bool,
    readiness: Readiness,
    repair: Repair,
}

/// What is to be sent again to a proxy that differs.
#[derive(Default)]
pub(super) struct RepairActions {
    /// The proxy is to build its tables anew.
    pub(super) resyncs: bool,
    /// The kinds of sections that are sent again.
    pub(super) kinds: Vec<usize>,
}

impl ProxySession {
    pub(super) fn new(id: u64, link: Link, now: Millis) -> ProxySession {
        ProxySession {
            id,
            link,
            identity: None,
            last_received_at: now,
            applied: state_digest(None, 0, &[]),
            updates: UpdateStream::default(),
            is_disconnected: false,
            readiness: Readiness::Closed,
            repair: Repair::default(),
        }
    }

    /// Sends a section that is held, unless the proxy has it, or has not applied the one before of its kind.
    pub(super) fn offer(&mut self, now: Millis, section: StateSection) {
        if self.identity.is_some() {
            if let Some(number) = self.updates.offer(now, &section) {
                self.link.send(&FromControl::Update { number, section });
            }
        }
    }

    /// Sends a section whatever was sent before.
    pub(super) fn resend(&mut self, now: Millis, section: StateSection) {
        if self.identity.is_some() {
            let number = self.updates.resend(now, &section);
            self.link.send(&FromControl::Update { number, section });
        }
    }

    /// All sections of what is held have been offered, of which that is known.
    pub(super) fn record_offered(&mut self, report: MajorityReport) {
        if self.identity.is_some() {
            self.updates.record_offered(report);
        }
    }

    /// What the proxy is to be told of `newest`: nothing that runs ahead of the updates.
    pub(super) fn report(&mut self, newest: MajorityReport) -> MajorityReport {
        self.updates.report(newest)
    }

    /// The proxy has applied all updates up to that number.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.updates.acknowledge(number);
    }

    /// Whether sections wait until the proxy has applied others.
    pub(super) fn has_waiting_updates(&self) -> bool {
        self.updates.is_waiting()
    }

    /// Whether the proxy has applied everything that is held, or cannot be waited for: it has ended, or has fallen silent.
    pub(super) fn needs_no_update(&self, now: Millis) -> bool {
        self.is_disconnected || self.is_silent(now) || self.updates.is_applied()
    }

    fn is_silent(&self, now: Millis) -> bool {
        now - self.last_received_at > SILENT_AFTER
    }

    /// Returns whether the proxy's readiness has changed.
    pub(super) fn record_heartbeat(&mut self, readiness: Readiness, applied: StateDigest) -> bool {
        self.applied = applied;
        std::mem::replace(&mut self.readiness, readiness) != readiness
    }

    pub(super) fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// The proxy's readiness as control is to know it.
    pub(super) fn readiness_at(&self, now: Millis) -> Readiness {
        if self.is_silent(now) {
            Readiness::Closed
        } else {
            self.readiness
        }
    }

    pub(super) fn disconnected(&mut self) {
        self.readiness = Readiness::Closed;
        self.is_disconnected = true;
    }

    /// What is to be sent again so that the proxy has in force what is held here.
    pub(super) fn next_repair(
        &mut self,
        now: Millis,
        held: &StateDigest,
        validity: &ReportValidity,
    ) -> RepairActions {
        // Updates on their way are no difference, unless they stay there.
        let is_updating = !self.updates.is_applied() && !self.updates.is_stalled(now);
        if self.identity.is_none() || is_updating {
            return RepairActions::default();
        }
        let report = MajorityReport {
            decided: *held,
            as_of: now,
        };
        let status = SyncAssessment::new(&self.applied, Some(&report), false, validity).status;
        let differing = Section::differing(&self.applied, held);
        let Some(step) = self.repair.next_step(now, status, &differing) else {
            return RepairActions::default();
        };
        let (applied, held) = (self.applied.revision.config, held.revision.config);
        log::warn!(
            "event=proxy_differs status={} applied={applied:08x} held={held:08x} sections={differing:?} step={step:?}",
            status.as_str()
        );
        RepairActions::of(&step)
    }
}

impl RepairActions {
    fn of(step: &RepairStep) -> RepairActions {
        let all = || DesiredState::kinds().collect();
        match step {
            RepairStep::ResendSections(sections) => RepairActions {
                resyncs: false,
                kinds: kinds_of(sections),
            },
            RepairStep::SendSnapshot => RepairActions {
                resyncs: false,
                kinds: all(),
            },
            RepairStep::Resync => RepairActions {
                resyncs: true,
                kinds: all(),
            },
            RepairStep::Alert => RepairActions::default(),
        }
    }
}

/// Evacuations are a section of their own; all other sections are in the configuration.
fn kinds_of(sections: &[Section]) -> Vec<usize> {
    let has_evacuations = sections.contains(&Section::Evacuations);
    let has_others = sections
        .iter()
        .any(|section| *section != Section::Evacuations);
    let kinds = [(CONFIG, has_others), (EVACUATED, has_evacuations)];
    kinds
        .iter()
        .filter(|(_, differs)| *differs)
        .map(|(kind, _)| *kind)
        .collect()
}
