//! The coordinator's state of the connection to the proxy.

use super::desired_state::{DesiredState, CONFIG, EVACUATED};
use aspendrum_model::config::format_version;
use aspendrum_model::message::{FromControl, Readiness, StateDigest, StateSection};
use aspendrum_net::frames::FrameSender;
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, Repair, RepairStep, ReportValidity, Section,
    SyncAssessment, UpdateStream,
};
use std::net::SocketAddrV4;

/// A proxy from which no message was received for this long is reported as not ready.
const RECEIVE_TIMEOUT: Millis = 900.0;

/// The identity that the proxy announced in its `Hello`.
pub(super) struct ProxyIdentity {
    /// The host name of the proxy.
    pub(super) host: String,
    /// The address at which the proxy accepts clients.
    pub(super) address: SocketAddrV4,
}

/// The connection to the proxy. It is retained after a disconnect, until the proxy reconnects.
pub(super) struct ProxySession {
    pub(super) id: u64,
    pub(super) link: FrameSender,
    /// `None` until the proxy has sent its `Hello`. No state is sent to the proxy before that.
    pub(super) identity: Option<ProxyIdentity>,
    pub(super) last_received_at: Millis,
    /// The digest of the state that the proxy has applied, computed from its tables.
    pub(super) applied: StateDigest,
    /// The updates sent on this connection.
    updates: UpdateStream,
    pub(super) is_disconnected: bool,
    readiness: Readiness,
    repair: Repair,
}

/// The messages that repair a proxy whose applied state differs from the desired state.
#[derive(Default)]
pub(super) struct RepairActions {
    /// Whether the proxy is first instructed to rebuild its tables from the next configuration, whatever its version.
    pub(super) rebuilds_tables: bool,
    /// The kinds of the sections to resend.
    pub(super) kinds: Vec<usize>,
}

impl ProxySession {
    pub(super) fn new(id: u64, link: FrameSender, now: Millis) -> ProxySession {
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

    /// Sends a section, unless it was already sent or an earlier section of its kind is still unacknowledged.
    pub(super) fn offer(&mut self, now: Millis, section: StateSection) {
        if self.identity.is_some() {
            if let Some(number) = self.updates.offer(now, &section) {
                self.link.send(&FromControl::Update { number, section });
            }
        }
    }

    /// Sends a section regardless of what was sent before.
    pub(super) fn resend(&mut self, now: Millis, section: StateSection) {
        if self.identity.is_some() {
            let number = self.updates.resend(now, &section);
            self.link.send(&FromControl::Update { number, section });
        }
    }

    /// Records that all sections of the state that `report` confirms have been offered.
    pub(super) fn record_offered(&mut self, report: MajorityReport) {
        if self.identity.is_some() {
            self.updates.record_offered(report);
        }
    }

    /// Returns the report to send to the proxy, which never refers to a state newer than the updates already sent.
    pub(super) fn report(&mut self, newest: MajorityReport) -> MajorityReport {
        self.updates.report(newest)
    }

    /// Records that the proxy has applied all updates up to `number`.
    pub(super) fn acknowledge(&mut self, number: u64) {
        self.updates.acknowledge(number);
    }

    /// Whether sections are waiting for the proxy to apply earlier ones.
    pub(super) fn has_pending_updates(&self) -> bool {
        self.updates.has_pending()
    }

    /// Whether updates may be acknowledged to control: the proxy has applied all of them, or is disconnected or
    /// unresponsive, so that it is not waited for.
    pub(super) fn allows_acknowledgement(&self, now: Millis) -> bool {
        self.is_disconnected || self.is_unresponsive(now) || self.updates.is_applied()
    }

    fn is_unresponsive(&self, now: Millis) -> bool {
        now - self.last_received_at > RECEIVE_TIMEOUT
    }

    /// Records the contents of a heartbeat. Returns whether the readiness of the proxy has changed.
    pub(super) fn record_heartbeat(&mut self, readiness: Readiness, applied: StateDigest) -> bool {
        self.applied = applied;
        std::mem::replace(&mut self.readiness, readiness) != readiness
    }

    pub(super) fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }

    /// Returns the readiness to report to control, which is `Closed` while the proxy is unresponsive.
    pub(super) fn effective_readiness(&self, now: Millis) -> Readiness {
        if self.is_unresponsive(now) {
            Readiness::Closed
        } else {
            self.readiness
        }
    }

    pub(super) fn mark_disconnected(&mut self) {
        self.readiness = Readiness::Closed;
        self.is_disconnected = true;
    }

    /// Returns the next step to make the applied state of the proxy match the desired state.
    pub(super) fn next_repair(
        &mut self,
        now: Millis,
        desired: &StateDigest,
        validity: &ReportValidity,
    ) -> RepairActions {
        // Updates in flight are expected to differ, unless they are stalled.
        let is_updating = !self.updates.is_applied() && !self.updates.is_stalled(now);
        if self.identity.is_none() || is_updating {
            return RepairActions::default();
        }
        let report = MajorityReport {
            decided: *desired,
            as_of: now,
        };
        let status = SyncAssessment::new(&self.applied, Some(&report), false, validity).status;
        let differing = Section::differing(&self.applied, desired);
        let Some(step) = self.repair.next_step(now, status, &differing) else {
            return RepairActions::default();
        };
        log::warn!(
            "event=proxy_differs status={} applied={} held={} sections={differing:?} step={step:?}",
            status.as_str(),
            format_version(self.applied.revision.config),
            format_version(desired.revision.config)
        );
        RepairActions::for_step(&step)
    }
}

impl RepairActions {
    fn for_step(step: &RepairStep) -> RepairActions {
        let all = || DesiredState::kinds().collect();
        match step {
            RepairStep::ResendSections(sections) => RepairActions {
                rebuilds_tables: false,
                kinds: section_kinds(sections),
            },
            RepairStep::SendSnapshot => RepairActions {
                rebuilds_tables: false,
                kinds: all(),
            },
            RepairStep::Resync => RepairActions {
                rebuilds_tables: true,
                kinds: all(),
            },
            RepairStep::Alert => RepairActions::default(),
        }
    }
}

/// Maps digest sections to section kinds. Evacuations have a kind of their own; all others are part of the
/// configuration.
fn section_kinds(sections: &[Section]) -> Vec<usize> {
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
