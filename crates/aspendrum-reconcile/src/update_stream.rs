//! Flow control for the updates on one connection, from control to an agent or from an agent to its proxy.
//!
//! Each section contains the complete state of its kind and supersedes the previous one. Therefore at most one update
//! of each kind is unacknowledged, and a newer section replaces a waiting one (as in the state-of-the-world variant of
//! Envoy's xDS protocol). A slow receiver gets fewer updates but always ends up with the newest state, and the queue of
//! a connection is bounded by one section of each kind.

use crate::majority_report::MajorityReport;
use aspendrum_model::message::{StateSection, SECTION_KINDS};
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::time::Millis;

/// The time after which an unacknowledged update no longer blocks the next one, because the receiver may run a program
/// version that acknowledges late.
const ACKNOWLEDGEMENT_TIMEOUT: Millis = 1000.0;

/// The state of the updates on one connection, and the decided state that may be reported to the receiver.
pub struct UpdateStream {
    last_number: u64,
    acknowledged: u64,
    slots: [Slot; SECTION_KINDS],
    /// The report of the last decided state whose sections have all been sent.
    sent_report: Option<MajorityReport>,
}

/// The sections of one kind.
#[derive(Default)]
struct Slot {
    /// The section that was sent last.
    sent: Option<SentSection>,
    /// Whether a newer section waits for the acknowledgement of the last one.
    is_waiting: bool,
}

struct SentSection {
    section: StateSection,
    number: u64,
    sent_at: Millis,
}

impl Default for UpdateStream {
    fn default() -> UpdateStream {
        UpdateStream {
            last_number: 0,
            acknowledged: 0,
            slots: [const {
                Slot {
                    sent: None,
                    is_waiting: false,
                }
            }; SECTION_KINDS],
            sent_report: None,
        }
    }
}

impl UpdateStream {
    /// Offers the newest section of its kind. Returns the number under which to send it now, or `None` if the receiver
    /// already has it or has not acknowledged the previous one. While [`UpdateStream::has_pending`] returns `true`, the
    /// caller must offer the newest sections again after acknowledgements and periodically.
    pub fn offer(&mut self, now: Millis, section: &StateSection) -> Option<u64> {
        let acknowledged = self.acknowledged;
        let slot = &mut self.slots[section.kind()];
        let is_sent = |sent: &SentSection| is_up_to_date(&sent.section, section);
        if slot.sent.as_ref().is_some_and(is_sent) {
            slot.is_waiting = false;
            return None;
        }
        let is_unacknowledged = |sent: &SentSection| {
            sent.number > acknowledged && now - sent.sent_at < ACKNOWLEDGEMENT_TIMEOUT
        };
        slot.is_waiting = slot.sent.as_ref().is_some_and(is_unacknowledged);
        if slot.is_waiting {
            return None;
        }
        Some(self.record_sent(now, section))
    }

    /// Returns the number under which to send a section now, regardless of earlier updates. Used for repairs.
    pub fn resend(&mut self, now: Millis, section: &StateSection) -> u64 {
        self.record_sent(now, section)
    }

    fn record_sent(&mut self, now: Millis, section: &StateSection) -> u64 {
        self.last_number += 1;
        let sent = SentSection {
            section: section.clone(),
            number: self.last_number,
            sent_at: now,
        };
        self.slots[section.kind()] = Slot {
            sent: Some(sent),
            is_waiting: false,
        };
        self.last_number
    }

    /// Records that the receiver has applied all updates up to `number`.
    pub fn acknowledge(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number.min(self.last_number));
    }

    /// Whether a section waits for the acknowledgement of the previous one.
    pub fn has_pending(&self) -> bool {
        self.slots.iter().any(|slot| slot.is_waiting)
    }

    /// Whether a section of the decided state is waiting.
    fn is_decided_section_waiting(&self) -> bool {
        let is_decided = |slot: &Slot| {
            let section = slot.sent.as_ref().map(|sent| &sent.section);
            section.is_some_and(StateSection::is_decided)
        };
        self.slots
            .iter()
            .any(|slot| slot.is_waiting && is_decided(slot))
    }

    /// Whether the receiver has applied all offered sections.
    pub fn is_applied(&self) -> bool {
        !self.has_pending() && self.acknowledged == self.last_number
    }

    /// Whether an update has been unacknowledged for at least [`ACKNOWLEDGEMENT_TIMEOUT`].
    pub fn is_stalled(&self, now: Millis) -> bool {
        let mut sent = self.slots.iter().filter_map(|slot| slot.sent.as_ref());
        sent.any(|sent| {
            sent.number > self.acknowledged && now - sent.sent_at >= ACKNOWLEDGEMENT_TIMEOUT
        })
    }

    /// Returns the number of the last sent update.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the number up to which updates are acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Records that all sections of a decided state have been offered. Until all of them are sent, the previous state
    /// is reported to the receiver. Reports thus never precede the updates, and the receiver can treat every difference
    /// as a lost update.
    pub fn record_offered(&mut self, report: MajorityReport) {
        if !self.is_decided_section_waiting() {
            self.sent_report = Some(report);
        }
    }

    /// Returns the report to send to the receiver, given the newest one.
    pub fn report(&mut self, newest: MajorityReport) -> MajorityReport {
        match &mut self.sent_report {
            Some(sent) if sent.decided == newest.decided => {
                sent.as_of = newest.as_of;
                newest
            }
            Some(sent) => *sent,
            None => newest,
        }
    }
}

/// Whether `sent` makes sending `section` unnecessary.
fn is_up_to_date(sent: &StateSection, section: &StateSection) -> bool {
    match (sent, section) {
        (
            StateSection::Config {
                version: sent_version,
                checksum: sent_checksum,
                ..
            },
            StateSection::Config {
                version, checksum, ..
            },
        ) => (sent_version, sent_checksum) == (version, checksum),
        (StateSection::Servers { list: sent, .. }, StateSection::Servers { list, .. }) => {
            let mut pairs = sent.iter().zip(list);
            sent.len() == list.len()
                && pairs.all(|(sent, server)| is_unchanged_server(sent, server))
        }
        (sent, section) => sent == section,
    }
}

/// Whether the two entries are equal except for the progress of a slow start, whose remaining time receivers count down
/// locally. The beginning of a slow start is a difference.
fn is_unchanged_server(sent: &ServerInstance, server: &ServerInstance) -> bool {
    let without_slow_start = |server: &ServerInstance| ServerInstance {
        slow_start_left_ms: 0,
        ..server.clone()
    };
    server.slow_start_left_ms <= sent.slow_start_left_ms
        && without_slow_start(sent) == without_slow_start(server)
}
